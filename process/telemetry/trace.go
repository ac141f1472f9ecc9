package telemetry

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
)

// Trace outputs that are not files.
const (
	OutputOff    = "off"
	OutputStdout = "stdout"
)

const traceFileMode = 0o600

// Tracing creates spans and exports them.
type Tracing struct {
	Tracer trace.Tracer
	close  func(context.Context) error
}

// NewTracing returns tracing to the given output; ratio is the share of requests traced if the caller's trace context does not decide it.
func NewTracing(output string, ratio float64) (*Tracing, error) {
	switch output {
	case OutputOff:
		return &Tracing{Tracer: noop.NewTracerProvider().Tracer("vaneyoke"), close: noopClose}, nil
	case OutputStdout:
		return newTracing(os.Stdout, ratio, func() error { return nil })
	}
	file, err := os.OpenFile(output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeSettingsValue, err, "[trace] output")
	}
	return newTracing(file, ratio, file.Close)
}

func noopClose(context.Context) error { return nil }

func newTracing(out io.Writer, ratio float64, closeOut func() error) (*Tracing, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
	)
	t := &Tracing{Tracer: provider.Tracer("vaneyoke")}
	t.close = func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closeErr := closeOut(); err == nil {
			err = closeErr
		}
		return err
	}
	return t, nil
}

// Close exports the remaining spans and closes the output.
func (t *Tracing) Close(ctx context.Context) error { return t.close(ctx) }
