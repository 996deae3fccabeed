package handler

import (
	"io"
	"mime"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// readChunkBytes is the amount of buffer space that is acquired from the limiter at a time while a body is read.
const readChunkBytes = 16 << 10

// errBodyTimeout is the error of a body that did not arrive within Timeouts.Body.
var errBodyTimeout = descriptor.NewProblem(descriptor.CodeDeadline, 0, "the body was not received in time")

// readBody returns the body of a call, at most limit bytes, and a function that releases its buffer space.
// net/http removes the read deadline that checkHeader sets once the body has been read.
func (server *server) readBody(
	limiter limiter, request *http.Request, limit int,
) (body []byte, release func(), err error) {
	acquired := int64(0)
	release = func() {
		limiter.bytes.Release(acquired)
	}
	if request.ContentLength > int64(limit) {
		return nil, release, bodyTooLarge(limit)
	}
	for {
		if len(body) == cap(body) {
			if !limiter.bytes.TryAcquire(readChunkBytes) {
				return nil, release, descriptor.NewProblem(descriptor.CodeOverloaded, DefaultRetryAfter,
					"the bodies of all calls in progress exceed the buffer limit")
			}
			acquired += readChunkBytes
			body = append(make([]byte, 0, len(body)+readChunkBytes), body...)
		}
		count, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case len(body) > limit:
			return nil, release, bodyTooLarge(limit)
		case errors.Is(err, io.EOF):
			return body, release, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, release, errBodyTimeout
		case err != nil:
			return nil, release, descriptor.NewProblem(descriptor.CodeInvalid, 0, "the body is truncated or malformed")
		}
	}
}

func bodyTooLarge(limit int) *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeTooLarge, 0, "the body is larger than %d bytes", limit)
}

// writeBodyError responds to a call whose body was not read completely. It closes the connection, because the
// unread rest of the body may be long.
func (server *server) writeBodyError(writer http.ResponseWriter, request *http.Request, err error) {
	writer.Header().Set("Connection", "close")
	if errors.Is(err, errBodyTimeout) {
		server.writeProblem(writer, request, http.StatusRequestTimeout, errBodyTimeout, err)
		return
	}
	server.writeError(writer, request, err)
}

// readJSON returns the body of a call after it checks that its content type is JSON. On failure it writes the
// error response and returns false.
func (server *server) readJSON(
	limiter limiter, writer http.ResponseWriter, request *http.Request, limit int,
) (body []byte, release func(), ok bool) {
	if err := checkContentType(request.Header); err != nil {
		server.writeBodyError(writer, request, err)
		return nil, func() {}, false
	}
	body, release, err := server.readBody(limiter, request, limit)
	if err != nil {
		release()
		server.writeBodyError(writer, request, err)
		return nil, func() {}, false
	}
	return body, release, true
}

// checkContentType returns an error unless the content type is application/json in UTF-8.
func checkContentType(header http.Header) error {
	mediaType, parameters, err := mime.ParseMediaType(header.Get("Content-Type"))
	charset := parameters["charset"]
	if err != nil || mediaType != "application/json" || charset != "" && !strings.EqualFold(charset, "utf-8") {
		return descriptor.NewProblem(descriptor.CodeWrongType, 0, "the content type must be application/json in UTF-8")
	}
	return nil
}
