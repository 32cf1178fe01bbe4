package telemetry

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	instrumentationName = "github.com/kingcupknot/kingcupknot"
	traceparentHeader   = "traceparent"
	serviceNameKey      = "service.name"
)

// Tracer writes trace spans to a file, one JSON object per line, or discards them.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdk.TracerProvider
	file     *os.File
}

// NewTracer returns a Tracer that appends the spans of the named VM to a file, or
// discards them if the file name is empty. It returns an error if the file can't
// be opened.
func NewTracer(file, vm string) (*Tracer, error) {
	if file == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(instrumentationName)}, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Annotate(err, "open the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, errors.Annotate(err, "create the span exporter")
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(attribute.String(serviceNameKey, vm))),
	)
	return &Tracer{tracer: p.Tracer(instrumentationName), provider: p, file: f}, nil
}

// Enabled reports whether spans are written.
func (t *Tracer) Enabled() bool {
	return t.provider != nil
}

// WithTraceparent returns a context that carries the W3C trace context of a
// traceparent header. With an empty or invalid header, spans of the context start
// a new trace.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	carrier := propagation.MapCarrier{traceparentHeader: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// Traceparent returns the trace context that ctx carries, as the value of a
// traceparent header. It returns an empty string if ctx carries none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get(traceparentHeader)
}

// Start begins a span at the given time. pairs alternates keys and values of its
// attributes. The caller must end the span with its End method.
func (t *Tracer) Start(ctx context.Context, name string, at time.Time, pairs ...string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithTimestamp(at), trace.WithAttributes(attributes(pairs)...))
}

// Record writes a span that has already ended. It returns a context that carries
// the span as the parent of further spans.
func (t *Tracer) Record(ctx context.Context, name string, start, end time.Time, pairs ...string) context.Context {
	ctx, span := t.Start(ctx, name, start, pairs...)
	span.End(trace.WithTimestamp(end))
	return ctx
}

// Close writes the remaining spans and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		t.file.Close()
		return errors.Annotate(err, "write the remaining spans")
	}
	return errors.Trace(t.file.Close())
}

func attributes(pairs []string) []attribute.KeyValue {
	var out []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, attribute.String(pairs[i], pairs[i+1]))
	}
	return out
}
