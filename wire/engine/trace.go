package engine

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceParent returns the value of the traceparent header for the span in ctx, or nil if there is none.
func traceParent(ctx context.Context) []string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	value, ok := carrier[headerTraceParent]
	if !ok {
		return nil
	}
	return []string{value}
}
