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
	instrumentation   = "github.com/kingcupknot/kingcupknot"
	traceparentHeader = "traceparent"
	serviceNameKey    = "service.name"
)

// Tracing writes spans to a file, one JSON object a line, or nowhere.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdk.TracerProvider
	file     *os.File
}

// Tracer opens the file for spans of the named VM. With an empty file name no
// spans are written.
func NewTracer(file, vm string) (*Tracer, error) {
	if file == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(instrumentation)}, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Annotate(err, "open the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, errors.Annotate(err, "make the span exporter")
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(attribute.String(serviceNameKey, vm))),
	)
	return &Tracer{tracer: p.Tracer(instrumentation), provider: p, file: f}, nil
}

// On reports whether spans are written.
func (t *Tracer) On() bool {
	return t.provider != nil
}

// Parent returns a context that carries the W3C trace context of a
// traceparent; one that is empty or invalid starts a new trace.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	carrier := propagation.MapCarrier{traceparentHeader: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// Traceparent returns the trace context that ctx carries, empty if none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get(traceparentHeader)
}

// Start begins a span at the given time. Pairs are keys and values by turns.
// The span must be ended by its End method.
func (t *Tracer) Start(ctx context.Context, name string, at time.Time, pairs ...string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithTimestamp(at), trace.WithAttributes(attributes(pairs)...))
}

// Record writes a span that has already ended and returns its context.
func (t *Tracer) Record(ctx context.Context, name string, start, end time.Time, pairs ...string) context.Context {
	ctx, span := t.Start(ctx, name, start, pairs...)
	span.End(trace.WithTimestamp(end))
	return ctx
}

// Close writes what is outstanding and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		t.file.Close()
		return errors.Annotate(err, "write the last spans")
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
