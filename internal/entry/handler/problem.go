package handler

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/work/descriptor"
)

// DefaultRetryAfter is told to callers when the source of a passing problem names no time.
const DefaultRetryAfter = time.Second

// problem returns the document for err. Errors that are no Problem do not reach callers.
func problem(err error) *descriptor.Problem {
	var known *descriptor.Problem
	switch {
	case errors.As(err, &known):
		copied := *known
		if copied.RetryAfter.Duration <= 0 && presenter.Passing(copied.Code) {
			copied.RetryAfter.Duration = DefaultRetryAfter
		}
		return &copied
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return descriptor.NewProblem(descriptor.CodeUncertain, 0, "the call ended before its outcome was known")
	default:
		return descriptor.NewProblem(descriptor.CodeInternal, 0, "the system failed; its log has the reason")
	}
}

// invalid returns the problem of a document whose faults are joined in err.
func invalid(subject string, err error) *descriptor.Problem {
	problem := descriptor.NewProblem(descriptor.CodeInvalid, 0, "the %s is not valid", subject)
	problem.Details = flatten(err)
	return problem
}

// flatten returns the texts of joined errors.
func flatten(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error }) //nolint:errorlint // Only the outermost error is split.
	if !ok {
		return []string{err.Error()}
	}
	var texts []string
	for _, part := range joined.Unwrap() {
		texts = append(texts, flatten(part)...)
	}
	return texts
}

// fail answers with the problem of err.
func (server *server) fail(writer http.ResponseWriter, request *http.Request, err error) {
	document := problem(err)
	server.failWith(writer, request, presenter.Status(document.Code), document, err)
}

// failWith answers with a status that the code alone does not determine.
func (server *server) failWith(
	writer http.ResponseWriter, request *http.Request, status int, document *descriptor.Problem, err error,
) {
	if document.Code == descriptor.CodeInternal {
		logger.Log(request.Context(), server.Log, logger.EventCallFailed, logger.Error(err))
	}
	header := writer.Header()
	header.Set(presenter.HeaderCode, string(document.Code))
	if header.Get(presenter.HeaderRequest) != "" {
		header.Set(presenter.HeaderFate, descriptor.Record(presenter.FateOf(document.Code)).Fate)
	}
	if wait := document.RetryAfter.Duration; wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	var conflict *presenter.Conflict
	if errors.As(err, &conflict) {
		server.answer(writer, status, conflict)
		return
	}
	server.answer(writer, status, document)
}

// answer sends a JSON document.
func (server *server) answer(writer http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"Code":"Internal","Message":"the answer has no JSON form"}`)
	}
	server.send(writer, status, append(body, '\n'))
}

// send sends a body within the time limit. A caller that does not take it gets no other answer.
func (server *server) send(writer http.ResponseWriter, status int, body []byte) {
	// Recorders in tests have no deadlines.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(server.Timeouts.Answer.Duration))
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

func (server *server) notFound(writer http.ResponseWriter, request *http.Request) {
	server.fail(writer, request, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no such resource"))
}

func (server *server) methodNotAllowed(writer http.ResponseWriter, request *http.Request) {
	document := descriptor.NewProblem(descriptor.CodeInvalid, 0, "the resource does not support this method")
	server.failWith(writer, request, http.StatusMethodNotAllowed, document, document)
}
