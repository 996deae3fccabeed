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

// DefaultRetryAfter is the retry delay sent to callers with a transient problem that has none of its own.
const DefaultRetryAfter = time.Second

// toProblem returns the problem document for err. The texts of other errors than a Problem are not shown to
// callers.
func toProblem(err error) *descriptor.Problem {
	var original *descriptor.Problem
	switch {
	case errors.As(err, &original):
		copied := *original
		if copied.RetryAfter.Duration <= 0 && presenter.Transient(copied.Code) {
			copied.RetryAfter.Duration = DefaultRetryAfter
		}
		return &copied
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return descriptor.NewProblem(descriptor.CodeUncertain, 0, "the call ended before its outcome was known")
	default:
		return descriptor.NewProblem(descriptor.CodeInternal, 0, "internal error; the reason is in the log of the instance")
	}
}

// invalidProblem returns the problem for an invalid document. Its details are the errors that err joins.
func invalidProblem(subject string, err error) *descriptor.Problem {
	problem := descriptor.NewProblem(descriptor.CodeInvalid, 0, "the %s is not valid", subject)
	problem.Details = errorTexts(err)
	return problem
}

// errorTexts returns the messages of all errors that err joins, or the message of err itself.
func errorTexts(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error }) //nolint:errorlint // Only the outermost error is split.
	if !ok {
		return []string{err.Error()}
	}
	var texts []string
	for _, part := range joined.Unwrap() {
		texts = append(texts, errorTexts(part)...)
	}
	return texts
}

// writeError responds with the problem document for err and the status of its code.
func (server *server) writeError(writer http.ResponseWriter, request *http.Request, err error) {
	problem := toProblem(err)
	server.writeProblem(writer, request, presenter.Status(problem.Code), problem, err)
}

// writeProblem responds with problem, or with the conflict if err is one, under a status that may differ from
// that of the problem's code. Internal errors are logged with err.
func (server *server) writeProblem(
	writer http.ResponseWriter, request *http.Request, status int, problem *descriptor.Problem, err error,
) {
	if problem.Code == descriptor.CodeInternal {
		logger.Log(request.Context(), server.Log, logger.EventCallFailed, logger.Error(err))
	}
	header := writer.Header()
	header.Set(presenter.HeaderCode, string(problem.Code))
	if header.Get(presenter.HeaderRequest) != "" {
		header.Set(presenter.HeaderFate, descriptor.NewFateRecord(presenter.FateOf(problem.Code)).Fate)
	}
	if wait := problem.RetryAfter.Duration; wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	var conflict *presenter.Conflict
	if errors.As(err, &conflict) {
		server.writeJSON(writer, status, conflict)
		return
	}
	server.writeJSON(writer, status, problem)
}

// writeJSON responds with document encoded as JSON.
func (server *server) writeJSON(writer http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"Code":"Internal","Message":"the response cannot be encoded as JSON"}`)
	}
	server.writeBody(writer, status, append(body, '\n'))
}

// writeBody sends the response within Timeouts.Answer. Write errors are ignored, since the caller can be sent
// nothing else.
func (server *server) writeBody(writer http.ResponseWriter, status int, body []byte) {
	// httptest recorders do not support deadlines, so errors are ignored.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(server.Timeouts.Answer.Duration))
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

func (server *server) notFound(writer http.ResponseWriter, request *http.Request) {
	server.writeError(writer, request, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no such resource"))
}

func (server *server) methodNotAllowed(writer http.ResponseWriter, request *http.Request) {
	problem := descriptor.NewProblem(descriptor.CodeInvalid, 0, "the resource does not support this method")
	server.writeProblem(writer, request, http.StatusMethodNotAllowed, problem, problem)
}
