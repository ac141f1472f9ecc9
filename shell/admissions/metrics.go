package admissions

import (
	"expvar"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
)

// Metrics counts decisions on requests.
type Metrics struct {
	vars      *expvar.Map
	decisions *expvar.Map // by kind
	rejected  *expvar.Map // by reason
	waits     *expvar.Map // by route and length
}

// NewMetrics returns metrics that are published under "admission" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{
		vars: new(expvar.Map).Init(), decisions: new(expvar.Map).Init(), rejected: new(expvar.Map).Init(), waits: new(expvar.Map).Init(),
	}
	m.vars.Set("decisions_total", m.decisions)
	m.vars.Set("rejected_total", m.rejected)
	m.vars.Set("waits_total", m.waits)
	vars.Set("admission", m.vars)
	return m
}

func (m *Metrics) publishQueues(queues func() admission.Snapshot) {
	m.vars.Set("queues", expvar.Func(func() any { return queues() }))
}

func (m *Metrics) countAdmission(route vaneyoke.RouteID, e admission.Admit) {
	m.decisions.Add("admitted", 1)
	if e.Forced {
		m.decisions.Add("forced", 1)
	}
	m.waits.Add(string(route)+" "+bucketOf(e.Waited), 1)
}

func (m *Metrics) countRejection(route vaneyoke.RouteID, e admission.Reject) {
	m.decisions.Add("rejected", 1)
	m.rejected.Add(string(route)+" "+e.Reason.String(), 1)
}

// bucketOf returns the name of the bucket of a wait.
func bucketOf(wait time.Duration) string {
	switch {
	case wait < 100*time.Millisecond:
		return "under_100ms"
	case wait < time.Second:
		return "under_1s"
	case wait < 5*time.Second:
		return "under_5s"
	default:
		return "5s_or_more"
	}
}
