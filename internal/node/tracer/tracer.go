// Package tracer records OpenTelemetry spans in a bounded ring buffer in memory, serves them over HTTP, and
// propagates W3C trace contexts over HTTP and gRPC.
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

// Limits of one span. Together with the number of spans they bound the memory of the ring.
const (
	maxAttributes      = 16
	maxAttributeLength = 256
	maxEvents          = 8
)

// DefaultSpans is the number of spans that a tracer keeps if New is called without a positive capacity.
const DefaultSpans = 4096

// Span is a finished span as it is written to JSON.
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

// Tracer starts spans and keeps the most recently finished ones. A nil Tracer records nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	ring     *ring
}

// New returns a tracer that keeps the last capacity spans of instance, and a function that shuts it down.
func New(instance string, capacity int) (*Tracer, func(ctx context.Context) error) {
	if capacity <= 0 {
		capacity = DefaultSpans
	}
	ring := &ring{
		instance: instance,
		maxSpans: capacity,
	}
	limits := sdktrace.NewSpanLimits()
	limits.AttributeCountLimit = maxAttributes
	limits.AttributeValueLengthLimit = maxAttributeLength
	limits.EventCountLimit = maxEvents
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSyncer(ring),
		sdktrace.WithRawSpanLimits(limits),
		sdktrace.WithResource(resource.Empty()),
		// The sampled flag of a remote parent is ignored, so that callers cannot switch tracing off.
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
	)
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("pomelomoor"),
		ring:     ring,
	}, provider.Shutdown
}

// Start starts a span as a child of the span in ctx, if any. The caller must call its End method.
func (tracer *Tracer) Start(
	ctx context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue,
) (context.Context, trace.Span) {
	if tracer == nil {
		return ctx, trace.SpanFromContext(context.Background())
	}
	return tracer.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
}

// TracerProvider returns the OpenTelemetry tracer provider for packages that create their own tracers.
func (tracer *Tracer) TracerProvider() trace.TracerProvider {
	return tracer.provider
}

// OTelTracer returns the OpenTelemetry tracer for packages that use it directly.
func (tracer *Tracer) OTelTracer() trace.Tracer {
	return tracer.tracer
}

// SetError sets the status of span to an error with the message of err, unless err is nil.
func SetError(span trace.Span, err error) {
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

// Spans returns the kept spans of the trace, or of all traces if traceID is empty, in the order in which they
// finished.
func (tracer *Tracer) Spans(traceID string) []Span {
	if tracer == nil {
		return []Span{}
	}
	return tracer.ring.read(traceID)
}

// spansDocument is the response of ServeHTTP.
type spansDocument struct {
	Spans []Span
}

// ServeHTTP responds with the kept spans of the trace in the query parameter Trace, or with all kept spans.
func (tracer *Tracer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	// Ignored: a write fails when the caller has closed its connection.
	_ = json.NewEncoder(writer).Encode(spansDocument{
		Spans: tracer.Spans(request.URL.Query().Get("Trace")),
	})
}

// ring is a span exporter that keeps the last spans in a ring buffer.
type ring struct {
	instance string
	maxSpans int

	mutex sync.Mutex
	spans []Span
	// next is the index of the oldest span, which is overwritten next, once the ring is full. Until then it is 0.
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
		Name:     truncate(span.Name()),
		Kind:     span.SpanKind().String(),
		Instance: ring.instance,
		Start:    span.StartTime(),
		Duration: span.EndTime().Sub(span.StartTime()),
		Error:    truncate(span.Status().Description),
	}
	converted.Took = converted.Duration.String()
	if span.Parent().HasSpanID() {
		converted.Parent = span.Parent().SpanID().String()
	}
	if len(span.Attributes()) > 0 {
		converted.Attributes = make(map[string]string, len(span.Attributes()))
	}
	for _, attribute := range span.Attributes() {
		converted.Attributes[string(attribute.Key)] = truncate(attribute.Value.String())
	}
	return converted
}

// truncate cuts text to maxAttributeLength bytes.
func truncate(text string) string {
	return text[:min(len(text), maxAttributeLength)]
}

// add appends span, in place of the oldest one if the ring is full.
func (ring *ring) add(span Span) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	if len(ring.spans) < ring.maxSpans {
		ring.spans = append(ring.spans, span)
		return
	}
	ring.spans[ring.next] = span
	ring.next = (ring.next + 1) % ring.maxSpans
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
