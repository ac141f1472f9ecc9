package node

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// maxEvictionLines is how many closed connections are logged in a second, of all listeners.
const maxEvictionLines = 5

// evictionRecorder logs and counts the connections that are closed before their request is handled.
type evictionRecorder struct {
	total *expvar.Map // by listener and reason
	log   logrus.FieldLogger

	mu      sync.Mutex
	second  time.Time // start of the second in which lines are counted
	lines   int
	leftOut int // since the last line
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
	leftOut, ok := r.next(now)
	if !ok {
		return
	}
	r.log.WithFields(logrus.Fields{
		"listener": string(listener), "reason": string(e.Reason), "phase": e.Conn.Phase, "age_ms": now.Sub(e.Conn.Since).Milliseconds(),
		"opened_ms": now.Sub(e.Conn.Opened).Milliseconds(), "header_bytes": e.HeaderBytes, "header_lines": e.HeaderLines, "open": e.Open, "left_out": leftOut,
	}).Warn("connection_evicted")
}

// next reports whether a line may be written now, and how many have been left out before it.
func (r *evictionRecorder) next(now time.Time) (leftOut int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.second) >= time.Second {
		r.second, r.lines = now, 0
	}
	if r.lines >= maxEvictionLines {
		r.leftOut++
		return 0, false
	}
	leftOut, r.leftOut = r.leftOut, 0
	r.lines++
	return leftOut, true
}
