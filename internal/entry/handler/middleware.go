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

// statusWriter remembers the status of the answer.
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

// Unwrap lets http.ResponseController reach the connection.
func (writer *statusWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

// untraced paths are polled so often that their spans would drive out all others.
var untraced = map[string]bool{
	"/v1/ready":   true,
	"/v1/live":    true,
	"/v1/metrics": true,
	"/v1/traces":  true,
}

// observe records a span and metrics for each call and turns a panic into an answer.
func (server *server) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(plain http.ResponseWriter, request *http.Request) {
		started := time.Now()
		writer := &statusWriter{
			ResponseWriter: plain,
		}
		var span trace.Span
		if !untraced[request.URL.Path] {
			ctx := tracer.Extract(request.Context(), request.Header)
			ctx, span = server.Tracer.Start(ctx, request.Method, trace.SpanKindServer)
			request = request.WithContext(ctx)
			if id := tracer.TraceID(ctx); id != "" {
				writer.Header().Set(presenter.HeaderTrace, id)
			}
		}
		defer func() {
			server.record(writer, request, span, started)
		}()
		defer server.recover(writer, request)
		next.ServeHTTP(writer, request)
	})
}

// record ends the span and counts the call. The route is known only after the call was routed.
func (server *server) record(writer *statusWriter, request *http.Request, span trace.Span, started time.Time) {
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

// recover answers a call whose handler panicked. The connection is given up if an answer has begun.
func (server *server) recover(writer *statusWriter, request *http.Request) {
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
	server.fail(writer, request, errors.Errorf("panic: %v\n%s", cause, debug.Stack()))
}

// checkHeader refuses calls whose header is too large and bounds the receipt of the body.
func (server *server) checkHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		// Recorders in tests have no deadlines, so errors do not count here.
		_ = controller.SetWriteDeadline(time.Now().Add(server.Timeouts.Answer.Duration))
		if request.ContentLength != 0 {
			// The deadline also ends the draining of a body that no handler reads.
			_ = controller.SetReadDeadline(time.Now().Add(server.Timeouts.Body.Duration))
		}
		count, size := 0, len(request.RequestURI)
		for name, values := range request.Header {
			count += len(values)
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		var document *descriptor.Problem
		switch {
		case count > server.Limits.Headers:
			document = descriptor.NewProblem(descriptor.CodeTooLarge, 0,
				"the call has more than %d header values", server.Limits.Headers)
		case size > server.Limits.HeaderBytes:
			document = descriptor.NewProblem(descriptor.CodeTooLarge, 0,
				"the call's header is larger than %d bytes", server.Limits.HeaderBytes)
		default:
			next.ServeHTTP(writer, request)
			return
		}
		writer.Header().Set("Connection", "close")
		server.failWith(writer, request, http.StatusRequestHeaderFieldsTooLarge, document, document)
	})
}

// admitStatus bounds the questions about jobs: those that wait apart from the others.
func (server *server) admitStatus(next http.Handler) http.Handler {
	control, waits := server.admit(server.control)(next), server.admit(server.waits)(next)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Has("Wait") {
			waits.ServeHTTP(writer, request)
			return
		}
		control.ServeHTTP(writer, request)
	})
}

// admit bounds the calls in progress.
func (server *server) admit(gate gate) func(next http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if !gate.calls.TryAcquire(1) {
				server.fail(writer, request,
					descriptor.NewProblem(descriptor.CodeOverloaded, DefaultRetryAfter, "too many calls are in progress"))
				return
			}
			defer gate.calls.Release(1)
			next.ServeHTTP(writer, request)
		})
	}
}
