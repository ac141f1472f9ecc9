package detours

import (
	"errors"
	"expvar"
	"net"
	"syscall"
)

// Metrics counts connection attempts to upstreams.
type Metrics struct {
	dials *expvar.Map // by path and outcome
}

// NewMetrics returns metrics that are published in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{dials: new(expvar.Map).Init()}
	vars.Set("dials_total", m.dials)
	return m
}

// causeOf classifies the error of a connection attempt for metrics and logs.
func causeOf(err error) string {
	timeout, isNet := errors.AsType[net.Error](err)
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return "refused"
	case isNet && timeout.Timeout():
		return "timed_out"
	default:
		return "failed"
	}
}
