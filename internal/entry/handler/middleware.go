package handler

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/meter"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/work/descriptor"
)

// statusWriter records the status of the response.
type statusWriter struct {
	http.ResponseWriter

	status int
}

func (writer *statusWriter) WriteHeader(status int) {
	if writer.status == 0 {
		writer.status = status
	}
	writer.ResponseWriter.WriteHeader(status)
}

func (writer *statusWriter) Write(body []byte) (int, error) {
	if writer.status == 0 {
		writer.status = http.StatusOK
	}
	return writer.ResponseWriter.Write(body)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (writer *statusWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

// untracedPaths are polled so often that their spans would evict all others from the span buffer.
var untracedPaths = map[string]bool{
	"/v1/ready":   true,
	"/v1/live":    true,
	"/v1/metrics": true,
	"/v1/traces":  true,
}

// observe records a span and metrics for each call and turns a panic into an error response.
func (server *server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(underlying http.ResponseWriter, request *http.Request) {
		started := time.Now()
		writer := &statusWriter{
			ResponseWriter: underlying,
		}
		var span trace.Span
		if !untracedPaths[request.URL.Path] {
			ctx := tracer.Extract(request.Context(), request.Header)
			ctx, span = server.Tracer.Start(ctx, request.Method, trace.SpanKindServer)
			request = request.WithContext(ctx)
			if id := tracer.TraceID(ctx); id != "" {
				writer.Header().Set(presenter.HeaderTrace, id)
			}
		}
		defer func() {
			server.recordCall(writer, request, span, started)
		}()
		defer server.recoverPanic(writer, request)
		next.ServeHTTP(writer, request)
	})
}

// recordCall ends the span and updates the metrics of a call. It runs after the router has set the route pattern.
func (server *server) recordCall(writer *statusWriter, request *http.Request, span trace.Span, started time.Time) {
	route := "(none)"
	if pattern := chi.RouteContext(request.Context()).RoutePattern(); pattern != "" && !strings.HasSuffix(pattern, "*") {
		route = pattern
	}
	scope := server.Scope.Tagged(map[string]string{
		"Route":  route,
		"Status": strconv.Itoa(writer.status),
	})
	scope.Counter("Calls").Inc(1)
	scope.Histogram("CallTime", meter.LatencyBuckets).RecordDuration(time.Since(started))
	if span == nil {
		return
	}
	span.SetName(request.Method + " " + route)
	span.SetAttributes(attribute.Int("Status", writer.status))
	if code := writer.Header().Get(presenter.HeaderCode); code != "" {
		span.SetAttributes(attribute.String("Code", code))
	}
	if id := writer.Header().Get(presenter.HeaderRequest); id != "" {
		span.SetAttributes(attribute.String("Request", id))
	}
	if writer.status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(writer.status))
	}
	span.End()
}

// recoverPanic responds to a call whose handler panicked. If the response has already started, it aborts the
// connection instead.
func (server *server) recoverPanic(writer *statusWriter, request *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	if writer.status != 0 {
		panic(http.ErrAbortHandler)
	}
	server.writeError(writer, request, errors.Errorf("panic: %v\n%s", cause, debug.Stack()))
}

// checkHeader rejects calls whose header is too large and sets the deadlines for reading the body and writing the
// response.
func (server *server) checkHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		// httptest recorders do not support deadlines, so errors are ignored.
		_ = controller.SetWriteDeadline(time.Now().Add(server.Timeouts.Answer.Duration))
		if request.ContentLength != 0 {
			// The deadline also bounds the time that net/http spends discarding a body that no handler reads.
			_ = controller.SetReadDeadline(time.Now().Add(server.Timeouts.Body.Duration))
		}
		count, size := 0, len(request.RequestURI)
		for name, values := range request.Header {
			count += len(values)
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		var problem *descriptor.Problem
		switch {
		case count > server.Limits.Headers:
			problem = descriptor.NewProblem(descriptor.CodeTooLarge, 0,
				"the call has more than %d header values", server.Limits.Headers)
		case size > server.Limits.HeaderBytes:
			problem = descriptor.NewProblem(descriptor.CodeTooLarge, 0,
				"the call's header is larger than %d bytes", server.Limits.HeaderBytes)
		default:
			next.ServeHTTP(writer, request)
			return
		}
		writer.Header().Set("Connection", "close")
		server.writeProblem(writer, request, http.StatusRequestHeaderFieldsTooLarge, problem, problem)
	})
}

// admitStatus limits status calls: those with a Wait parameter as long polls, the others as control calls.
func (server *server) admitStatus(next http.Handler) http.Handler {
	control, longPolls := server.admit(server.control)(next), server.admit(server.longPolls)(next)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Has("Wait") {
			longPolls.ServeHTTP(writer, request)
			return
		}
		control.ServeHTTP(writer, request)
	})
}

// admit rejects calls while the maximum number of calls is in progress.
func (server *server) admit(bounds bounds) func(next http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if !bounds.calls.TryAcquire(1) {
				server.writeError(writer, request,
					descriptor.NewProblem(descriptor.CodeOverloaded, DefaultRetryAfter, "too many calls are in progress"))
				return
			}
			defer bounds.calls.Release(1)
			next.ServeHTTP(writer, request)
		})
	}
}
