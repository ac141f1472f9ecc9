package node

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
)

// malformedRecorder logs and counts the answers to status queries that violate HTTP.
type malformedRecorder struct {
	total *expvar.Int
	log   logrus.FieldLogger
	lines lineLimit
}

func newMalformedRecorder(vars *expvar.Map, log logrus.FieldLogger) *malformedRecorder {
	r := &malformedRecorder{total: new(expvar.Int), log: log}
	vars.Set("queries_malformed_total", r.total)
	return r
}

func (r *malformedRecorder) record(upstream vaneyoke.UpstreamID, err error) {
	r.total.Add(1)
	if leftOut, ok := r.lines.next(time.Now()); ok {
		r.log.WithFields(logrus.Fields{"upstream": upstream, "error": err, "left_out": leftOut}).Warn("query_malformed")
	}
}
