package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// opaqueModel drives an opaque answer with random placements, losses and late events, and records what the modelled upstreams did.
type opaqueModel struct {
	t      *rapid.T
	now    time.Time
	config generation.Config
	state  *generation.State

	places     []vaneyoke.Attempt                   // placements that were requested
	unsent     map[vaneyoke.Attempt]bool            // started attempts that have not been sent
	from       map[vaneyoke.Attempt]vaneyoke.Tokens // number of the first chunk of a started attempt
	mayHaveRun map[vaneyoke.Attempt]bool            // started attempts that may have run
	sent       map[vaneyoke.Attempt]vaneyoke.Tokens // chunks that it has sent
	fenced     map[vaneyoke.Attempt]bool            // attempts that were lost or cancelled
	working    map[vaneyoke.Attempt]bool            // started attempts that were neither lost nor cancelled and have not ended
	origin     vaneyoke.Attempt                     // whose chunk was accepted first, or who ended the answer before any
	lastSent   time.Time                            // when an attempt was last sent
	forecast   generation.Forecast
	ended      bool
	failed     *generation.Fail
}

func newOpaqueModel(t *rapid.T) *opaqueModel {
	m := &opaqueModel{
		t: t, now: time.Unix(1000, 0),
		unsent: map[vaneyoke.Attempt]bool{}, from: map[vaneyoke.Attempt]vaneyoke.Tokens{}, sent: map[vaneyoke.Attempt]vaneyoke.Tokens{},
		mayHaveRun: map[vaneyoke.Attempt]bool{}, fenced: map[vaneyoke.Attempt]bool{}, working: map[vaneyoke.Attempt]bool{},
	}
	m.config = generation.DefaultConfig()
	m.config.Opaque = true
	m.config.Repeatable = rapid.Bool().Draw(t, "repeatable")
	m.config.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts")
	m.config.Deadline = m.now.Add(10 * time.Second)
	m.config.MaxWait = 10 * time.Second
	m.config.MaxPlacementWait = 500 * time.Millisecond
	m.config.MaxLosses = 64
	m.config.ProbeEvery = 200 * time.Millisecond
	m.config.EventIntervalGoal = 700 * time.Millisecond
	m.config.MaxRunQueries = rapid.IntRange(0, 2).Draw(t, "asks")
	m.config.UsefulOnly = rapid.Bool().Draw(t, "useful only")
	m.config.KeepLastAttempt = rapid.Bool().Draw(t, "keep last")
	m.config.Silence.Patience = 1
	if rapid.Bool().Draw(t, "no probe") {
		m.config.ProbeEvery = 0
	}
	m.state = generation.New(m.config, rand.New(rand.NewPCG(1, 2)))
	return m
}

func (m *opaqueModel) handle(ev generation.Event) {
	switch ev := ev.(type) {
	case generation.Lost:
		delete(m.working, ev.Attempt)
	case generation.Ended:
		delete(m.working, ev.Attempt)
	case generation.Unsent:
		delete(m.working, ev.Attempt)
	}
	working, begun, endedBefore := len(m.working), m.state.Transcript().Len() > 0, m.ended
	for _, effect := range m.state.Handle(m.now, ev) {
		m.apply(effect)
	}
	m.checkInvariants()
	if !endedBefore && m.failed != nil && begun && m.config.Repeatable && working > 0 && m.now.Before(m.config.Deadline) {
		m.checkEnded(ev)
	}
}

// checkEnded checks that an answer which fails before its deadline, while an upstream may still work on it, does so because of the caller, the node, or
// an upstream that sends something else than the rest.
func (m *opaqueModel) checkEnded(ev generation.Event) {
	switch ev.(type) {
	case generation.NodeStopping, generation.CallerGone, *generation.Received:
	default:
		m.t.Fatalf("the answer ended with %+v upon %#v while %v are at work", *m.failed, ev, m.working)
	}
}

func (m *opaqueModel) apply(effect generation.Effect) {
	switch e := effect.(type) {
	case generation.Place:
		m.places = append(m.places, e.Attempt)
	case generation.Start:
		must.EqOp(m.t, m.state.Transcript().Len(), e.From)
		must.Len(m.t, 0, e.Prefix)
		m.checkUseful(e)
		m.from[e.Attempt] = e.From
		m.mayHaveRun[e.Attempt] = true
		m.unsent[e.Attempt] = true
		m.working[e.Attempt] = true
	case generation.NotBegun:
		must.True(m.t, m.config.UsefulOnly, must.Sprint("an attempt was refused with the rule off"))
	case generation.GivenUp:
		must.True(m.t, m.config.UsefulOnly, must.Sprint("a run was given up with the rule off"))
	case generation.Cancel:
		m.fenced[e.Attempt] = true
		m.mayHaveRun[e.Attempt] = m.mayHaveRun[e.Attempt] && !m.unsent[e.Attempt]
		delete(m.working, e.Attempt)
	case generation.Resume:
		m.t.Fatalf("resumed an opaque stream: %+v", e)
	case generation.Finish:
		m.ended = true
		must.Positive(m.t, m.state.Origin(), must.Sprint("a complete answer without an origin"))
	case generation.Fail:
		m.ended = true
		m.failed = &e
	}
}

// checkUseful checks that no further attempt starts that is expected to be late by a quarter, and that no first one is refused.
func (m *opaqueModel) checkUseful(e generation.Start) {
	if !m.config.UsefulOnly || len(m.from) == 0 || float64(e.From) >= 0.9*float64(m.forecast.Chunks) && m.forecast.Chunks > 0 {
		return
	}
	if e.FromReplica || m.forecast.FirstChunk == 0 {
		return
	}
	must.LessEq(m.t, m.config.Deadline.Sub(m.now), m.forecast.FirstChunk*8/10, must.Sprint("the first chunk of a further attempt comes too late"))
}

// checkInvariants checks the number of runs, the failure code and the order of the chunks.
func (m *opaqueModel) checkInvariants() {
	possibleRuns := 0
	for _, started := range m.mayHaveRun {
		if started {
			possibleRuns++
		}
	}
	if !m.config.Repeatable {
		must.LessEq(m.t, 1, possibleRuns, must.Sprint("runs of a non-repeatable request"))
	}
	must.LessEq(m.t, m.config.MaxAttempts, possibleRuns, must.Sprint("runs exceed MaxAttempts"))
	if m.failed != nil && m.failed.Code.Info().NotRun {
		must.EqOp(m.t, 0, possibleRuns, must.Sprint("possible runs with code ", m.failed.Code))
	}
	beside := 0
	for attempt := range m.working {
		if !m.unsent[attempt] {
			beside++
		}
	}
	must.LessEq(m.t, 2, beside, must.Sprint("runs beside each other"))
	if due := m.state.NextTick(); beside > 1 && !m.ended {
		must.False(m.t, due.After(m.lastSent.Add(handoverOverlap)), must.Sprint("runs beside each other until ", due))
	}
	must.EqOp(m.t, m.origin, m.state.Origin(), must.Sprint("origin of the answer"))
	text := m.state.Transcript().Text
	for at := 0; at < len(text); at += chunkBytes {
		must.EqOp(m.t, position(at/chunkBytes), text[at+1], must.Sprint("position of a chunk of the answer"))
		must.True(m.t, at == 0 || text[at] >= text[at-chunkBytes], must.Sprint("a chunk of an earlier attempt after one of a later attempt"))
	}
}

// A chunk consists of its attempt and its position in the answer.
const chunkBytes = 2

func chunk(attempt vaneyoke.Attempt, at vaneyoke.Tokens) []byte {
	return []byte{byte(attempt), position(int(at))}
}

func position(at int) byte { return byte(at % 251) }

// drawAttempt draws one of all started attempts, live or fenced; ok is false if there is none.
func (m *opaqueModel) drawAttempt() (vaneyoke.Attempt, bool) {
	var all []vaneyoke.Attempt
	for a := vaneyoke.Attempt(1); int(a) <= 200; a++ {
		if _, ok := m.from[a]; ok {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(all).Draw(m.t, "attempt"), true
}

// sendChunk has an upstream send the next chunk of an attempt, or one at an offset from it.
func (m *opaqueModel) sendChunk(attempt vaneyoke.Attempt, offset vaneyoke.Tokens) {
	at := max(m.from[attempt]+m.sent[attempt]+offset, 0)
	m.send(attempt)
	m.sent[attempt]++
	before, fenced := m.state.Transcript().Len(), m.fenced[attempt] || m.ended
	if before == 0 && !fenced && at == 0 {
		m.origin = attempt
	}
	m.handle(&generation.Received{Attempt: attempt, Batch: vaneyoke.Batch{
		First: at, IDs: []vaneyoke.TokenID{0}, Text: chunk(attempt, at),
	}})
	if fenced {
		must.EqOp(m.t, before, m.state.Transcript().Len(), must.Sprint("a chunk of a fenced attempt was accepted"))
	}
}

// send has an attempt be sent, unless it was cancelled before.
func (m *opaqueModel) send(attempt vaneyoke.Attempt) {
	if m.unsent[attempt] && !m.fenced[attempt] && !m.ended {
		delete(m.unsent, attempt)
		m.lastSent = m.now
		m.handle(generation.Sent{Attempt: attempt})
	}
}

// tick has the timer fire until it is not due any more, which has to be soon, and checks that it fires by the deadline.
func (m *opaqueModel) tick() {
	const maxTicks = 3
	for range maxTicks {
		if !m.ended {
			m.handle(generation.Tick{})
		}
	}
	if !m.ended {
		must.True(m.t, m.state.NextTick().After(m.now), must.Sprint("the timer fires without a pause"))
		must.False(m.t, m.state.NextTick().After(m.config.Deadline), must.Sprint("the timer fires after the deadline"))
	}
}

// TestOpaqueAnswerInvariants draws events in random order, including late ones of fenced attempts.
func TestOpaqueAnswerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOpaqueModel(t)
		m.handle(generation.Admitted{})
		steps := map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				if len(m.places) == 0 {
					return
				}
				attempt := m.places[0]
				m.places = m.places[1:]
				if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
					code := rapid.SampledFrom([]vaneyoke.Code{
						vaneyoke.CodeNoUpstream, vaneyoke.CodeRetryExhausted, vaneyoke.CodePushedBack, vaneyoke.CodeVersionGone, vaneyoke.CodeQuarantined,
					}).Draw(t, "refusal")
					m.handle(generation.NotPlaced{Attempt: attempt, Code: code, RetryAfter: time.Duration(rapid.IntRange(0, 8).Draw(t, "retry after")) * time.Second})
					return
				}
				upstream := vaneyoke.UpstreamID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "upstream"))
				m.handle(generation.Placed{Attempt: attempt, Upstream: upstream, Replica: "e9", HoldsReplica: rapid.Bool().Draw(t, "holds")})
			},
			"event": func(t *rapid.T) {
				if attempt, ok := m.drawAttempt(); ok && m.mayHaveRun[attempt] {
					m.sendChunk(attempt, vaneyoke.Tokens(rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(t, "slip")))
				}
			},
			"send": func(*rapid.T) {
				if attempt, ok := m.drawAttempt(); ok {
					m.send(attempt)
				}
			},
			"end": func(*rapid.T) {
				if attempt, ok := m.drawAttempt(); ok && m.mayHaveRun[attempt] {
					m.send(attempt)
					if m.origin == 0 && !m.fenced[attempt] && !m.ended {
						m.origin = attempt
					}
					m.handle(generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
				}
			},
			"lost": func(t *rapid.T) {
				causes := []generation.Cause{generation.CauseClosed, generation.CauseMalformed, generation.CauseFailed}
				if attempt, ok := m.drawAttempt(); ok && m.mayHaveRun[attempt] {
					m.send(attempt)
					m.handle(generation.Lost{Attempt: attempt, Cause: rapid.SampledFrom(causes).Draw(t, "cause")})
				}
			},
			"not run": func(t *rapid.T) {
				attempt, ok := m.drawAttempt()
				if !ok || m.sent[attempt] > 0 || !m.mayHaveRun[attempt] {
					return
				}
				causes := []generation.Cause{generation.CauseNotSent, generation.CauseDeclined, generation.CauseGone}
				m.mayHaveRun[attempt] = false
				m.handle(generation.Lost{Attempt: attempt, Cause: rapid.SampledFrom(causes).Draw(t, "cause")})
			},
			"probe": func(t *rapid.T) {
				if attempt, ok := m.drawAttempt(); ok {
					m.handle(generation.Probed{Attempt: attempt, Alive: rapid.Bool().Draw(t, "alive")})
				}
			},
			"asked": func(t *rapid.T) {
				if attempt, ok := m.drawAttempt(); ok {
					m.handle(generation.RunReported{
						Attempt: attempt, State: vaneyoke.RunState(rapid.IntRange(0, 3).Draw(t, "work")), Produced: vaneyoke.Tokens(rapid.IntRange(0, 9).Draw(t, "made")),
					})
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 3000, 11_000}).Draw(t, "ms")) * time.Millisecond)
				m.tick()
			},
			"forecast": func(t *rapid.T) {
				m.forecast = drawForecast(t)
				m.handle(m.forecast)
			},
			"node ends": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
					m.handle(generation.NodeStopping{})
					must.True(t, m.ended)
				}
			},
			"node ends before it is sent": func(t *rapid.T) {
				attempt, ok := m.drawAttempt()
				if !ok || m.sent[attempt] > 0 || !m.mayHaveRun[attempt] || rapid.IntRange(0, 9).Draw(t, "ends") > 0 {
					return
				}
				m.mayHaveRun[attempt] = false
				m.handle(generation.Unsent{Attempt: attempt})
				m.handle(generation.NodeStopping{})
				must.True(t, m.ended)
			},
			"caller leaves": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					m.handle(generation.CallerGone{})
				}
			},
		}
		t.Repeat(steps)
	})
}
