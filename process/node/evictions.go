package node

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// evictionRecorder logs and counts the connections that are closed before their request is handled.
type evictionRecorder struct {
	total *expvar.Map // by listener and reason
	log   logrus.FieldLogger
	lines lineLimit // of all listeners
}

func newEvictionRecorder(vars *expvar.Map, log logrus.FieldLogger) *evictionRecorder {
	total := new(expvar.Map).Init()
	vars.Set("connections_evicted_total", total)
	return &evictionRecorder{total: total, log: log}
}

// of returns the function that records what is closed at a listener.
func (r *evictionRecorder) of(listener listenerName) func(serve.Evicted) {
	return func(e serve.Evicted) { r.record(listener, e) }
}

func (r *evictionRecorder) record(listener listenerName, e serve.Evicted) {
	r.total.Add(string(listener)+"_"+string(e.Reason), 1)
	now := time.Now()
	leftOut, ok := r.lines.next(now)
	if !ok {
		return
	}
	r.log.WithFields(logrus.Fields{
		"listener": string(listener), "reason": string(e.Reason), "phase": e.Conn.Phase, "age_ms": now.Sub(e.Conn.Since).Milliseconds(),
		"opened_ms": now.Sub(e.Conn.Opened).Milliseconds(), "header_bytes": e.HeaderBytes, "header_lines": e.HeaderLines, "open": e.Open, "left_out": leftOut,
	}).Warn("connection_evicted")
}
