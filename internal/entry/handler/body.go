package handler

import (
	"mime"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/limiter"
	"pomelomoor/internal/work/descriptor"
)

// errBodyTimeout is the error of a body that did not arrive within Timeouts.Body.
var errBodyTimeout = descriptor.NewProblem(descriptor.CodeDeadline, 0, "the body was not received in time")

// readBody returns the body of a call, at most limit bytes, and a function that releases its buffer space.
// net/http removes the read deadline that checkHeader sets once the body has been read.
func (server *server) readBody(
	bounds bounds, request *http.Request, limit int,
) (body []byte, release func(), err error) {
	acquired := int64(0)
	release = func() {
		bounds.bytes.Release(acquired)
	}
	body, err = limiter.ReadReserved(request, int64(limit), func(bytes int64) error {
		if !bounds.bytes.TryAcquire(bytes) {
			return limiter.ErrNoRoom
		}
		acquired += bytes
		return nil
	})
	switch {
	case err == nil:
		return body, release, nil
	case errors.Is(err, limiter.ErrTooLarge):
		return nil, release, bodyTooLarge(limit)
	case errors.Is(err, limiter.ErrNoRoom):
		return nil, release, descriptor.NewProblem(descriptor.CodeOverloaded, DefaultRetryAfter,
			"the bodies of all calls in progress exceed the buffer limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, release, errBodyTimeout
	default:
		return nil, release, descriptor.NewProblem(descriptor.CodeInvalid, 0, "the body is truncated or malformed")
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
	bounds bounds, writer http.ResponseWriter, request *http.Request, limit int,
) (body []byte, release func(), ok bool) {
	if err := checkContentType(request.Header); err != nil {
		server.writeBodyError(writer, request, err)
		return nil, func() {}, false
	}
	body, release, err := server.readBody(bounds, request, limit)
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
