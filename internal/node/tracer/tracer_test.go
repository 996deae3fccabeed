package tracer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"

// TestPropagation guards against a trace context that is lost between an HTTP call and the gRPC call made for it,
// also when the caller has not set the sampled flag.
func TestPropagation(t *testing.T) {
	tracer, stop := New("a", 8)
	header := http.Header{"Traceparent": {traceparent}}
	ctx, span := tracer.Start(Extract(context.Background(), header), "GET /", trace.SpanKindServer,
		attribute.String("Caller", strings.Repeat("x", 1000)))
	outgoing := metadata.AppendToOutgoingContext(ctx, "other", "kept")
	err := UnaryClientInterceptor()(outgoing, "/Peer/Query", nil, nil, nil, func(
		ctx context.Context, _ string, _, _ any, _ *grpc.ClientConn, _ ...grpc.CallOption,
	) error {
		sent, _ := metadata.FromOutgoingContext(ctx)
		if len(sent.Get("other")) != 1 {
			t.Error("other metadata was lost")
		}
		received := metadata.NewIncomingContext(context.Background(), sent)
		_, err := tracer.UnaryServerInterceptor()(received, nil, &grpc.UnaryServerInfo{FullMethod: "/Peer/Query"},
			func(context.Context, any) (any, error) {
				return nil, errors.New("refused")
			})
		return err
	})
	SetError(span, err)
	span.End()
	recorder := httptest.NewRecorder()
	target := "/v1/traces?Trace=0af7651916cd43dd8448eb211c80319c"
	tracer.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	var document spansDocument
	if err := json.Unmarshal(recorder.Body.Bytes(), &document); err != nil || len(document.Spans) != 2 {
		t.Fatalf("got %v, %s", err, recorder.Body)
	}
	child, root := document.Spans[0], document.Spans[1]
	if root.Parent != "b7ad6b7169203331" || child.Parent != root.Span || child.Error != "refused" || root.Error != "refused" {
		t.Errorf("got %s", recorder.Body)
	}
	if len(root.Attributes["Caller"]) != maxAttributeLength {
		t.Errorf("attribute has %d bytes", len(root.Attributes["Caller"]))
	}
	if err := stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// TestRing guards against a ring that grows beyond its capacity or drops the newest spans, and against a panic of
// a nil tracer.
func TestRing(t *testing.T) {
	tracer, _ := New("a", 3)
	for _, name := range []string{"1", "2", "3", "4", "5"} {
		_, span := tracer.Start(context.Background(), name, trace.SpanKindInternal)
		span.End()
	}
	var names []string
	for _, span := range tracer.Spans("") {
		names = append(names, span.Name)
	}
	if got := strings.Join(names, ""); got != "345" {
		t.Errorf("got %s", got)
	}
	_, span := (*Tracer)(nil).Start(context.Background(), "none", trace.SpanKindInternal)
	span.End()
}
