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

// forwarding is an opaque answer whose upstreams, losses and late events are drawn at random, and what a model of the
// upstreams knows of it.
type forwarding struct {
	t      *rapid.T
	now    time.Time
	config generation.Config
	state  *generation.State

	placing []vaneyoke.Attempt                   // asked for
	from    map[vaneyoke.Attempt]vaneyoke.Tokens // piece that the next event of a started attempt holds
	ran     map[vaneyoke.Attempt]bool            // started attempts that may have run
	given   map[vaneyoke.Attempt]vaneyoke.Tokens // events that it has sent
	fenced  map[vaneyoke.Attempt]bool            // attempts that were lost or cancelled
	ended   bool
	failed  *generation.Fail
}

func newForwarding(t *rapid.T) *forwarding {
	f := &forwarding{
		t: t, now: time.Unix(1000, 0),
		from: map[vaneyoke.Attempt]vaneyoke.Tokens{}, given: map[vaneyoke.Attempt]vaneyoke.Tokens{},
		ran: map[vaneyoke.Attempt]bool{}, fenced: map[vaneyoke.Attempt]bool{},
	}
	f.config = generation.DefaultConfig()
	f.config.Opaque = true
	f.config.Repeatable = rapid.Bool().Draw(t, "repeatable")
	f.config.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts")
	f.config.Deadline = f.now.Add(10 * time.Second)
	f.config.MaxWait = 10 * time.Second
	f.config.MaxUnsent = 500 * time.Millisecond
	f.config.MaxLosses = 64
	f.config.ProbeEvery = 200 * time.Millisecond
	f.config.Pause = 700 * time.Millisecond
	f.config.AskSilent = rapid.IntRange(0, 2).Draw(t, "asks")
	f.state = generation.New(f.config, rand.New(rand.NewPCG(1, 2)))
	return f
}

func (f *forwarding) handle(ev generation.Event) {
	for _, effect := range f.state.Handle(f.now, ev) {
		f.apply(effect)
	}
	f.check()
}

func (f *forwarding) apply(effect generation.Effect) {
	switch e := effect.(type) {
	case generation.Place:
		f.placing = append(f.placing, e.Attempt)
	case generation.Start:
		must.EqOp(f.t, f.state.Transcript().Len(), e.From)
		must.Len(f.t, 0, e.Prefix)
		f.from[e.Attempt] = e.From
		f.ran[e.Attempt] = true
	case generation.Cancel:
		f.fenced[e.Attempt] = true
	case generation.Resume:
		f.t.Fatalf("attached to a stream that no upstream gives again: %+v", e)
	case generation.Finish:
		f.ended = true
	case generation.Fail:
		f.ended = true
		f.failed = &e
	}
}

// check holds what has come about against what is promised.
func (f *forwarding) check() {
	may := 0
	for _, ran := range f.ran {
		if ran {
			may++
		}
	}
	if !f.config.Repeatable {
		must.LessEq(f.t, 1, may, must.Sprint("runs of a request that may run once"))
	}
	must.LessEq(f.t, f.config.MaxAttempts, may, must.Sprint("runs beyond the route's bound"))
	if f.failed != nil && f.failed.Code.Info().NotRun {
		must.EqOp(f.t, 0, may, must.Sprint("told as not run with ", f.failed.Code))
	}
	text := f.state.Transcript().Text
	for at := 0; at < len(text); at += pieceBytes {
		must.EqOp(f.t, position(at/pieceBytes), text[at+1], must.Sprint("pieces of the answer"))
		must.True(f.t, at == 0 || text[at] >= text[at-pieceBytes], must.Sprint("an earlier attempt after a later one"))
	}
}

// A piece names its attempt and its position in the answer.
const pieceBytes = 2

func piece(attempt vaneyoke.Attempt, at vaneyoke.Tokens) []byte {
	return []byte{byte(attempt), position(int(at))}
}

func position(at int) byte { return byte(at % 251) }

// attempt draws one of the attempts that were ever started, live or given up; ok is false where there is none.
func (f *forwarding) attempt() (vaneyoke.Attempt, bool) {
	var all []vaneyoke.Attempt
	for a := vaneyoke.Attempt(1); int(a) <= 200; a++ {
		if _, ok := f.from[a]; ok {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(all).Draw(f.t, "attempt"), true
}

// event has an upstream send its next event, or by a slip the one before or after it.
func (f *forwarding) event(attempt vaneyoke.Attempt, slip vaneyoke.Tokens) {
	at := max(f.from[attempt]+f.given[attempt]+slip, 0)
	f.given[attempt]++
	before, fenced := f.state.Transcript().Len(), f.fenced[attempt] || f.ended
	f.handle(&generation.Received{Attempt: attempt, Batch: vaneyoke.Batch{
		First: at, IDs: []vaneyoke.TokenID{0}, Text: piece(attempt, at),
	}})
	if fenced {
		must.EqOp(f.t, before, f.state.Transcript().Len(), must.Sprint("an event of an attempt that was given up"))
	}
}

// TestOpaqueAnswerKeepsItsPromises draws events in any order, late ones of attempts that were given up among them.
func TestOpaqueAnswerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newForwarding(t)
		f.handle(generation.Admitted{})
		steps := map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				if len(f.placing) == 0 {
					return
				}
				attempt := f.placing[0]
				f.placing = f.placing[1:]
				if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
					f.handle(generation.NotPlaced{Attempt: attempt, Code: vaneyoke.CodeNoUpstream})
					return
				}
				upstream := vaneyoke.UpstreamID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "upstream"))
				f.handle(generation.Placed{Attempt: attempt, Upstream: upstream, Replica: "e9", HoldsReplica: rapid.Bool().Draw(t, "holds")})
			},
			"event": func(t *rapid.T) {
				if attempt, ok := f.attempt(); ok && f.ran[attempt] {
					f.event(attempt, vaneyoke.Tokens(rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(t, "slip")))
				}
			},
			"end": func(*rapid.T) {
				if attempt, ok := f.attempt(); ok && f.given[attempt] > 0 {
					f.handle(generation.Ended{Attempt: attempt, Reason: vaneyoke.FinishStop})
				}
			},
			"lost": func(t *rapid.T) {
				causes := []generation.Cause{generation.CauseClosed, generation.CauseMalformed, generation.CauseFailed}
				if attempt, ok := f.attempt(); ok && f.ran[attempt] {
					f.handle(generation.Lost{Attempt: attempt, Cause: rapid.SampledFrom(causes).Draw(t, "cause")})
				}
			},
			"not run": func(t *rapid.T) {
				attempt, ok := f.attempt()
				if !ok || f.given[attempt] > 0 || !f.ran[attempt] {
					return
				}
				causes := []generation.Cause{generation.CauseNotSent, generation.CauseDeclined, generation.CauseGone}
				f.ran[attempt] = false
				f.handle(generation.Lost{Attempt: attempt, Cause: rapid.SampledFrom(causes).Draw(t, "cause")})
			},
			"probe": func(t *rapid.T) {
				if attempt, ok := f.attempt(); ok {
					f.handle(generation.Probed{Attempt: attempt, Alive: rapid.Bool().Draw(t, "alive")})
				}
			},
			"asked": func(t *rapid.T) {
				if attempt, ok := f.attempt(); ok {
					f.handle(generation.Asked{
						Attempt: attempt, Work: vaneyoke.RunState(rapid.IntRange(0, 3).Draw(t, "work")), Made: vaneyoke.Tokens(rapid.IntRange(0, 9).Draw(t, "made")),
					})
				}
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 3000, 11_000}).Draw(t, "ms")) * time.Millisecond)
				f.handle(generation.Tick{})
			},
			"node ends": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
					f.handle(generation.Interrupted{})
					must.True(t, f.ended)
				}
			},
			"caller leaves": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					f.handle(generation.CallerGone{})
				}
			},
		}
		t.Repeat(steps)
	})
}
