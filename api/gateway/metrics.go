package gateway

import (
	"expvar"

	"github.com/vaneyoke/vaneyoke"
)

// Metrics counts requests that were refused before a session began, and requests accepted while the node stops.
type Metrics struct {
	Refused               *expvar.Map // requests refused before an upstream was chosen, by result code
	AcceptedWhileStopping *expvar.Int // requests accepted while the node stops
}

// NewMetrics returns metrics that are published in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{Refused: new(expvar.Map).Init(), AcceptedWhileStopping: new(expvar.Int)}
	vars.Set("refused_total", m.Refused)
	vars.Set("taken_while_stopping_total", m.AcceptedWhileStopping)
	return m
}

func (m *Metrics) countRefused(code vaneyoke.Code) { m.Refused.Add(code.Info().Name, 1) }
