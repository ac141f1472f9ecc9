package node

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// panicRecorder logs and counts the panics of handlers.
type panicRecorder struct {
	total *expvar.Map // by what the caller got
	log   logrus.FieldLogger
}

func newPanicRecorder(vars *expvar.Map, log logrus.FieldLogger) *panicRecorder {
	total := new(expvar.Map).Init()
	vars.Set("handler_panics_total", total)
	return &panicRecorder{total: total, log: log}
}

func (r *panicRecorder) record(p serve.Panic) {
	outcome := "cut_off"
	if p.Answered {
		outcome = "answered"
	}
	r.total.Add(outcome, 1)
	r.log.WithFields(logrus.Fields{
		"request": p.Request, "host": p.Host, "path": p.Path, "answered": p.Answered, "error": p.Err, "stack": p.Err.Stack,
	}).Error("handler_panicked")
}
