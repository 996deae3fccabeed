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

// Extract returns ctx with the trace context from the header of a received request. A malformed trace context is
// ignored.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject adds the trace context of ctx to the header of an outgoing request.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// metadataCarrier implements propagation.TextMapCarrier for gRPC metadata, whose keys are in lower case.
type metadataCarrier metadata.MD

func (metadataCarrier metadataCarrier) Get(key string) string {
	values := metadata.MD(metadataCarrier).Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

func (metadataCarrier metadataCarrier) Set(key, value string) {
	metadata.MD(metadataCarrier).Set(key, value)
}

func (metadataCarrier metadataCarrier) Keys() []string {
	keys := make([]string, 0, len(metadataCarrier))
	for key := range metadataCarrier {
		keys = append(keys, key)
	}
	return keys
}

// UnaryServerInterceptor returns an interceptor that records a span for each received call, as a child of the span
// of the sender if the metadata has a trace context.
func (tracer *Tracer) UnaryServerInterceptor() grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		if incoming, ok := metadata.FromIncomingContext(ctx); ok {
			ctx = propagator.Extract(ctx, metadataCarrier(incoming))
		}
		ctx, span := tracer.Start(ctx, info.FullMethod, trace.SpanKindServer)
		defer span.End()
		reply, err := handler(ctx, request)
		SetError(span, err)
		return reply, err
	}
}

// UnaryClientInterceptor returns an interceptor that adds the trace context, if there is one, to the metadata of
// each call. It records no span, because the receiver of the call records one.
func UnaryClientInterceptor() grpc.UnaryClientInterceptor {
	return func(
		ctx context.Context, method string, request, reply any,
		connection *grpc.ClientConn, invoker grpc.UnaryInvoker, options ...grpc.CallOption,
	) error {
		outgoing, ok := metadata.FromOutgoingContext(ctx)
		if ok {
			outgoing = outgoing.Copy()
		} else {
			outgoing = metadata.MD{}
		}
		propagator.Inject(ctx, metadataCarrier(outgoing))
		return invoker(metadata.NewOutgoingContext(ctx, outgoing), method, request, reply, connection, options...)
	}
}
