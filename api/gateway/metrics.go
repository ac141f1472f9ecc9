package gateway

import (
	"expvar"

	"github.com/vaneyoke/vaneyoke"
)

// Metrics counts requests that were refused before a session began, requests accepted while the node stops, and bodies.
type Metrics struct {
	Refused               *expvar.Map // requests refused before an upstream was chosen, by result code
	AcceptedWhileStopping *expvar.Int // requests accepted while the node stops
	Bodies                *expvar.Map // bodies whose reading has ended, by how
}

// NewMetrics returns metrics that are published in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{Refused: new(expvar.Map).Init(), AcceptedWhileStopping: new(expvar.Int), Bodies: new(expvar.Map).Init()}
	vars.Set("refused_total", m.Refused)
	vars.Set("taken_while_stopping_total", m.AcceptedWhileStopping)
	vars.Set("bodies_total", m.Bodies)
	return m
}

func (m *Metrics) countRefused(code vaneyoke.Code) { m.Refused.Add(code.Info().Name, 1) }
