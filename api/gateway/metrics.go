package gateway

import (
	"expvar"

	"github.com/vaneyoke/vaneyoke"
)

// Metrics counts what becomes of requests of which no session is begun, and how the node stops.
type Metrics struct {
	Refused               *expvar.Map // requests refused before any upstream was chosen, by result code
	AcceptedWhileStopping *expvar.Int // requests taken while the node stops
}

// NewMetrics returns counters in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{Refused: new(expvar.Map).Init(), AcceptedWhileStopping: new(expvar.Int)}
	vars.Set("refused_total", m.Refused)
	vars.Set("taken_while_stopping_total", m.AcceptedWhileStopping)
	return m
}

func (m *Metrics) refused(code vaneyoke.Code) { m.Refused.Add(code.Info().Name, 1) }
