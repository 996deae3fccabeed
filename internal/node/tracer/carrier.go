package tracer

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

var propagator propagation.TraceContext

// Extract returns ctx with the trace context of a call's header. A malformed one is ignored.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace context of ctx into the header of a call.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// metadataCarrier adapts gRPC metadata, whose keys are lower case.
type metadataCarrier metadata.MD

func (carrier metadataCarrier) Get(key string) string {
	values := metadata.MD(carrier).Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

func (carrier metadataCarrier) Set(key, value string) {
	metadata.MD(carrier).Set(key, value)
}

func (carrier metadataCarrier) Keys() []string {
	keys := make([]string, 0, len(carrier))
	for key := range carrier {
		keys = append(keys, key)
	}
	return keys
}

// UnaryServer returns an interceptor that records a span for each received call.
func (tracer *Tracer) UnaryServer() grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if received, ok := metadata.FromIncomingContext(ctx); ok {
			ctx = propagator.Extract(ctx, metadataCarrier(received))
		}
		ctx, span := tracer.Start(ctx, info.FullMethod, trace.SpanKindServer)
		defer span.End()
		reply, err := handle(ctx, request)
		Fail(span, err)
		return reply, err
	}
}

// UnaryClient returns an interceptor that sends the trace context with each call that belongs to a trace.
// It records no span: each hop is recorded once, by its receiver.
func UnaryClient() grpc.UnaryClientInterceptor {
	return func(
		ctx context.Context, method string, request, reply any,
		connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption,
	) error {
		sent, ok := metadata.FromOutgoingContext(ctx)
		if ok {
			sent = sent.Copy()
		} else {
			sent = metadata.MD{}
		}
		propagator.Inject(ctx, metadataCarrier(sent))
		return invoke(metadata.NewOutgoingContext(ctx, sent), method, request, reply, connection, options...)
	}
}
