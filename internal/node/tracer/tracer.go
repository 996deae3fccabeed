// Package tracer records OpenTelemetry spans in a bounded ring in memory, readable over HTTP,
// and carries W3C trace contexts over HTTP and gRPC.
package tracer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Limits of one span. They bound the memory of the ring.
const (
	maxAttributes      = 16
	maxAttributeLength = 256
	maxEvents          = 8
)

// DefaultSpans is the number of spans kept by a Tracer with Spans 0.
const DefaultSpans = 4096

// Span is the document form of a finished span.
type Span struct {
	Trace  string
	Span   string
	Parent string `json:",omitempty"`
	Name   string
	// Kind is internal, server, client, producer or consumer.
	Kind       string
	Instance   string
	Start      time.Time
	Duration   time.Duration     `json:"-"`
	Took       string            `json:"Duration"`
	Attributes map[string]string `json:",omitempty"`
	Error      string            `json:",omitempty"`
}

// Tracer starts spans and keeps those that finished. A nil Tracer records nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	ring     *ring
}

// New returns a tracer that keeps the last spans of them, and a function that ends it.
func New(instance string, spans int) (*Tracer, func(ctx context.Context) error) {
	if spans <= 0 {
		spans = DefaultSpans
	}
	ring := &ring{
		instance: instance,
		size:     spans,
	}
	limits := sdktrace.NewSpanLimits()
	limits.AttributeCountLimit = maxAttributes
	limits.AttributeValueLengthLimit = maxAttributeLength
	limits.EventCountLimit = maxEvents
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSyncer(ring),
		sdktrace.WithRawSpanLimits(limits),
		sdktrace.WithResource(resource.Empty()),
		// The flag of a remote parent is not followed, so that callers cannot switch tracing off.
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
	)
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("pomelomoor"),
		ring:     ring,
	}, provider.Shutdown
}

// Start begins a span as a child of the one in ctx, if any. Its End method finishes it.
func (tracer *Tracer) Start(
	ctx context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue,
) (context.Context, trace.Span) {
	if tracer == nil {
		return ctx, trace.SpanFromContext(context.Background())
	}
	return tracer.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
}

// Provider returns the provider for packages that use OpenTelemetry's own interface.
func (tracer *Tracer) Provider() trace.TracerProvider {
	return tracer.provider
}

// OpenTelemetry returns the tracer for packages that use OpenTelemetry's own interface.
func (tracer *Tracer) OpenTelemetry() trace.Tracer {
	return tracer.tracer
}

// Fail marks span as failed by err. A nil err changes nothing.
func Fail(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
}

// TraceID returns the ID of the trace in ctx in hexadecimal, or an empty string.
func TraceID(ctx context.Context) string {
	spanContext := trace.SpanContextFromContext(ctx)
	if !spanContext.HasTraceID() {
		return ""
	}
	return spanContext.TraceID().String()
}

// Spans returns the kept spans of one trace, or of all for an empty ID, in the order in which they finished.
func (tracer *Tracer) Spans(traceID string) []Span {
	if tracer == nil {
		return []Span{}
	}
	return tracer.ring.read(traceID)
}

// spansDocument is the form of the traces resource.
type spansDocument struct {
	Spans []Span
}

// ServeHTTP answers with the spans of the trace in the query parameter Trace, or with all.
func (tracer *Tracer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	// A caller that closed its connection needs no answer.
	_ = json.NewEncoder(writer).Encode(spansDocument{
		Spans: tracer.Spans(request.URL.Query().Get("Trace")),
	})
}

// ring is a span exporter that keeps the last spans.
type ring struct {
	instance string
	size     int

	mutex sync.Mutex
	spans []Span
	// next is the index of the oldest span once the ring is full.
	next int
}

// ExportSpans implements sdktrace.SpanExporter.
func (ring *ring) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		ring.add(ring.convert(span))
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (ring *ring) Shutdown(context.Context) error {
	return nil
}

func (ring *ring) convert(span sdktrace.ReadOnlySpan) Span {
	converted := Span{
		Trace:    span.SpanContext().TraceID().String(),
		Span:     span.SpanContext().SpanID().String(),
		Name:     bounded(span.Name()),
		Kind:     span.SpanKind().String(),
		Instance: ring.instance,
		Start:    span.StartTime(),
		Duration: span.EndTime().Sub(span.StartTime()),
		Error:    bounded(span.Status().Description),
	}
	converted.Took = converted.Duration.String()
	if span.Parent().HasSpanID() {
		converted.Parent = span.Parent().SpanID().String()
	}
	if len(span.Attributes()) > 0 {
		converted.Attributes = make(map[string]string, len(span.Attributes()))
	}
	for _, attribute := range span.Attributes() {
		converted.Attributes[string(attribute.Key)] = bounded(attribute.Value.String())
	}
	return converted
}

func bounded(text string) string {
	return text[:min(len(text), maxAttributeLength)]
}

func (ring *ring) add(span Span) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	if len(ring.spans) < ring.size {
		ring.spans = append(ring.spans, span)
		return
	}
	ring.spans[ring.next] = span
	ring.next = (ring.next + 1) % ring.size
}

func (ring *ring) read(traceID string) []Span {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	spans := []Span{}
	for i := range ring.spans {
		span := ring.spans[(ring.next+i)%len(ring.spans)]
		if traceID == "" || span.Trace == traceID {
			spans = append(spans, span)
		}
	}
	return spans
}
