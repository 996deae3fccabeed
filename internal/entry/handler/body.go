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

// bodyStep is how much of a body is read before more room is taken from the gate.
const bodyStep = 16 << 10

// errSlow marks a body that was not sent in time.
var errSlow = descriptor.NewProblem(descriptor.CodeDeadline, 0, "the body was not sent in time")

// read returns the body of a call, at most limit bytes, and a function that gives its room back.
// net/http lifts the time limit of checkHeader when the body has ended.
func (server *server) read(
	gate gate, request *http.Request, limit int,
) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() {
		gate.bytes.Release(taken)
	}
	if request.ContentLength > int64(limit) {
		return nil, release, tooLarge(limit)
	}
	for {
		if len(body) == cap(body) {
			if !gate.bytes.TryAcquire(bodyStep) {
				return nil, release, descriptor.NewProblem(descriptor.CodeOverloaded, DefaultRetryAfter,
					"the bodies of the calls in progress are too large together")
			}
			taken += bodyStep
			body = append(make([]byte, 0, len(body)+bodyStep), body...)
		}
		count, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case len(body) > limit:
			return nil, release, tooLarge(limit)
		case errors.Is(err, io.EOF):
			return body, release, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, release, errSlow
		case err != nil:
			return nil, release, descriptor.NewProblem(descriptor.CodeInvalid, 0, "the body ended early or is malformed")
		}
	}
}

func tooLarge(limit int) *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeTooLarge, 0, "the body is larger than %d bytes", limit)
}

// failBody answers a call whose body could not be taken. The connection is closed, because the
// rest of the body may be long.
func (server *server) failBody(writer http.ResponseWriter, request *http.Request, err error) {
	writer.Header().Set("Connection", "close")
	if errors.Is(err, errSlow) {
		server.failWith(writer, request, http.StatusRequestTimeout, errSlow, err)
		return
	}
	server.fail(writer, request, err)
}

// readJSON returns the body of a call that must be JSON. It answers by itself when that fails.
func (server *server) readJSON(
	gate gate, writer http.ResponseWriter, request *http.Request, limit int,
) (body []byte, release func(), ok bool) {
	if err := checkType(request.Header); err != nil {
		server.failBody(writer, request, err)
		return nil, func() {}, false
	}
	body, release, err := server.read(gate, request, limit)
	if err != nil {
		release()
		server.failBody(writer, request, err)
		return nil, func() {}, false
	}
	return body, release, true
}

// checkType accepts application/json in UTF-8.
func checkType(header http.Header) error {
	media, parameters, err := mime.ParseMediaType(header.Get("Content-Type"))
	charset := parameters["charset"]
	if err != nil || media != "application/json" || charset != "" && !strings.EqualFold(charset, "utf-8") {
		return descriptor.NewProblem(descriptor.CodeWrongType, 0, "the content type must be application/json in UTF-8")
	}
	return nil
}
