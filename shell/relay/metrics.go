package relay

import (
	"expvar"
)

// Metrics counts what sessions do.
type Metrics struct {
	Sessions  *expvar.Int // started
	Open      *expvar.Int // running now
	Tokens    *expvar.Int // accepted
	Attempts  *expvar.Int // runs started on upstreams
	Losses    *expvar.Map // attempts lost, by cause
	Suspects  *expvar.Map // attempts that another one was to replace, by cause
	Discarded *expvar.Int // tokens received but not accepted
	Reprefill *expvar.Int // tokens sent to engines again as a prefix
	Continued *expvar.Map // attempts that continue a stream of which the caller has events, by how their software version compares with that of the events
	Splices   *expvar.Map // attempts whose first event followed one of another attempt, by how the two events relate
	Ends      *expvar.Map // attempts that ended well, by what framed their body
	NotBegun  *expvar.Map // attempts not begun and replicas not kept, by reason
	Panics    *expvar.Int // sessions that a panic ended
	GivenUp   *expvar.Int // answers whose runs were ended because they could not complete them in time
	Paused    *expvar.Map // times that an answer was read no further from its upstream, by whose bound was reached
	Cut       *expvar.Map // callers that were cut off because they did not read, by what decided
	Saved     *expvar.Int // prompt tokens that were not read again for attempts not begun
	Results   *expvar.Map // sessions ended, by result code
	Routes    *expvar.Map // opaque requests ended, by route and result code
	Latencies *Latencies  // of answered opaque requests, by route
}

// NewMetrics returns new metrics and registers them in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{
		Sessions:  new(expvar.Int),
		Open:      new(expvar.Int),
		Tokens:    new(expvar.Int),
		Attempts:  new(expvar.Int),
		Losses:    new(expvar.Map).Init(),
		Suspects:  new(expvar.Map).Init(),
		Discarded: new(expvar.Int),
		Reprefill: new(expvar.Int),
		Continued: new(expvar.Map).Init(),
		Splices:   new(expvar.Map).Init(),
		Ends:      new(expvar.Map).Init(),
		NotBegun:  new(expvar.Map).Init(),
		Panics:    new(expvar.Int),
		GivenUp:   new(expvar.Int),
		Paused:    new(expvar.Map).Init(),
		Cut:       new(expvar.Map).Init(),
		Saved:     new(expvar.Int),
		Results:   new(expvar.Map).Init(),
		Routes:    new(expvar.Map).Init(),
		Latencies: NewLatencies(),
	}
	vars.Set("sessions_total", m.Sessions)
	vars.Set("sessions_open", m.Open)
	vars.Set("tokens_total", m.Tokens)
	vars.Set("attempts_total", m.Attempts)
	vars.Set("losses_total", m.Losses)
	vars.Set("suspects_total", m.Suspects)
	vars.Set("discarded_tokens_total", m.Discarded)
	vars.Set("reprefill_tokens_total", m.Reprefill)
	vars.Set("continuations_total", m.Continued)
	vars.Set("splices_total", m.Splices)
	vars.Set("ends_total", m.Ends)
	vars.Set("attempts_not_begun_total", m.NotBegun)
	vars.Set("session_panics_total", m.Panics)
	vars.Set("runs_given_up_total", m.GivenUp)
	vars.Set("answers_paused_total", m.Paused)
	vars.Set("callers_cut_off_total", m.Cut)
	vars.Set("saved_tokens_total", m.Saved)
	vars.Set("results_total", m.Results)
	vars.Set("routes_total", m.Routes)
	vars.Set("latencies", expvar.Func(func() any { return m.Latencies.Snapshot() }))
	return m
}
