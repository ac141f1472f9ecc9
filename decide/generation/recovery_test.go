package generation_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// The simulated engines: 29 ms between tokens with a long tail, and a prefill time proportional to the prompt.
const (
	simTokens   = 600
	simPrompt   = 2000
	simGap      = 29 * time.Millisecond
	simPrefill  = 100 * time.Microsecond
	gapSigma    = 0.25 // standard deviation of the logarithm of a gap
	stallChance = 0.002
	stallLimit  = 250 * time.Millisecond
	simAnswers  = 100
	failIndex   = 300 // index of the token before which a failing run falls silent
)

// cost is the overhead of one answer over an undisturbed run, and the longest gap that its caller saw.
type cost struct {
	longestGap   time.Duration // longest gap between two tokens that the caller saw
	extraPrefill int           // tokens of prompts and prefixes prefilled beyond the first prompt
	extraDecode  int           // tokens generated beyond the answer
	suspected    int
}

// simulation is one answer on a simulated clock.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	state        *generation.State
	runs         []*simulatedRun
	places       []generation.Place
	cost         cost
	lastDelivery time.Time
	delivered    vaneyoke.Tokens
	stall        time.Duration // how long the first run falls silent; 0 for not at all, negative for ever
}

// simulatedRun is a run that sends its next token at nextAt.
type simulatedRun struct {
	attempt   vaneyoke.Attempt
	nextAt    time.Time
	index     vaneyoke.Tokens
	cancelled bool
}

func simulate(seed uint64, config generation.Config, stall time.Duration) cost {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), stall: stall}
	s.state = generation.New(config, s.rng)
	s.handle(generation.Admitted{})
	for !s.state.Ended() {
		s.step()
	}
	return s.cost
}

func (s *simulation) handle(ev generation.Event) {
	for _, ef := range slices.Clone(s.state.Handle(s.now, ev)) {
		switch ef := ef.(type) {
		case generation.Place:
			s.places = append(s.places, ef)
		case generation.Start:
			s.start(ef)
		case generation.Cancel:
			s.cancel(ef.Attempt)
		case generation.Deliver:
			s.recordDelivery()
		default:
		}
	}
}

func (s *simulation) start(ef generation.Start) {
	read := max(len(ef.Prefix), simPrompt)
	if ef.Attempt > 1 {
		s.cost.extraPrefill += read
	}
	s.runs = append(s.runs, &simulatedRun{attempt: ef.Attempt, index: ef.From, nextAt: s.now.Add(time.Duration(read) * simPrefill)})
}

func (s *simulation) cancel(attempt vaneyoke.Attempt) {
	for _, r := range s.runs {
		r.cancelled = r.cancelled || r.attempt == attempt
	}
}

func (s *simulation) recordDelivery() {
	if !s.lastDelivery.IsZero() {
		s.cost.longestGap = max(s.cost.longestGap, s.now.Sub(s.lastDelivery))
	}
	s.lastDelivery = s.now
	s.delivered = s.state.Transcript().Len()
}

// step advances to the next event: a placement, a token or a tick of the state machine.
func (s *simulation) step() {
	if len(s.places) > 0 {
		p := s.places[0]
		s.places = s.places[1:]
		s.handle(generation.Placed{Attempt: p.Attempt, Upstream: "e"})
		return
	}
	var next *simulatedRun
	for _, r := range s.runs {
		if !r.cancelled && (next == nil || r.nextAt.Before(next.nextAt)) {
			next = r
		}
	}
	due := s.state.NextTick()
	if next == nil || (!due.IsZero() && due.Before(next.nextAt)) {
		s.now = due
		before := s.state.Stats().Suspected
		s.handle(generation.Tick{})
		s.cost.suspected += s.state.Stats().Suspected - before
		return
	}
	s.now = next.nextAt
	s.sendToken(next)
}

func (s *simulation) sendToken(r *simulatedRun) {
	if r.index >= simTokens {
		s.handle(generation.Ended{Attempt: r.attempt, Reason: vaneyoke.FinishLength})
		return
	}
	if r.attempt == 1 {
		s.handle(generation.PromptTokenized{Attempt: 1, IDs: make([]vaneyoke.TokenID, simPrompt)})
	}
	if r.index < s.delivered {
		s.cost.extraDecode++
	}
	s.handle(&generation.Received{Attempt: r.attempt, Batch: vaneyoke.Batch{First: r.index, IDs: []vaneyoke.TokenID{1}, Text: []byte("x")}})
	r.index++
	r.nextAt = s.now.Add(s.nextGap())
	if r.attempt == 1 && r.index == failIndex {
		switch {
		case s.stall < 0:
			r.nextAt = s.now.Add(1000 * time.Hour)
		case s.stall > 0:
			r.nextAt = s.now.Add(s.stall)
		}
	}
}

// nextGap returns the gap of a healthy engine, which includes occasional stalls.
func (s *simulation) nextGap() time.Duration {
	if s.rng.Float64() < stallChance {
		return time.Duration(s.rng.Float64() * float64(stallLimit))
	}
	return time.Duration(float64(simGap) * math.Exp(gapSigma*s.rng.NormFloat64()))
}

// recoveryConfig returns the configuration of a recovery mode, either one of the product or a one-sided baseline.
func recoveryConfig(name string) generation.Config {
	config := generation.DefaultConfig()
	config.MaxTokens = simTokens
	switch name {
	case "frugal":
		config.Recovery = vaneyoke.RecoverFrugal
	case "always replace at once":
		config.Recovery = vaneyoke.RecoverFrugal
		config.Silence.Patience = 1
	case "always race at any gap":
		config.Silence.Floor, config.Silence.Deviations = 60*time.Millisecond, 1
	}
	return config
}

// summary holds the results of a recovery mode over many answers.
type summary struct {
	p50, p99  time.Duration
	work      float64 // extra tokens prefilled and decoded per answer
	suspected float64 // share of answers with at least one suspected attempt
}

func measure(name string, stall time.Duration) summary {
	var longestGaps []time.Duration
	work, suspected := 0, 0
	for seed := range uint64(simAnswers) {
		s := simulate(seed, recoveryConfig(name), stall)
		longestGaps = append(longestGaps, s.longestGap)
		work += s.extraPrefill + s.extraDecode
		if s.suspected > 0 {
			suspected++
		}
	}
	slices.Sort(longestGaps)
	return summary{
		p50: longestGaps[simAnswers/2], p99: longestGaps[simAnswers*99/100],
		work: float64(work) / simAnswers, suspected: float64(suspected) / simAnswers,
	}
}

// TestRecoveryModeTradeoffs compares fast and frugal recovery with each other and with one-sided baselines: fast recovery must resume sooner
// without suspecting healthy engines, and frugal recovery must save work. A simulated clock makes the figures reproducible.
func TestRecoveryModeTradeoffs(t *testing.T) {
	modes := []string{"fast", "frugal", "always replace at once", "always race at any gap"}
	got := map[string]map[string]summary{}
	for kind, stall := range map[string]time.Duration{"healthy": 0, "dies": -1, "pauses 0.8 s": 800 * time.Millisecond} {
		got[kind] = map[string]summary{}
		for _, name := range modes {
			m := measure(name, stall)
			got[kind][name] = m
			t.Logf("%-12s %-24s resume p50 %6s p99 %6s extra work %7.1f tokens, suspected %5.1f%%",
				kind, name, m.p50.Round(time.Millisecond), m.p99.Round(time.Millisecond), m.work, 100*m.suspected)
		}
	}
	must.Less(t, 0.01, got["healthy"]["fast"].suspected)
	must.Less(t, time.Second, got["dies"]["fast"].p99)
	must.LessEq(t, 0.5, float64(got["dies"]["fast"].p50)/float64(got["dies"]["frugal"].p50))
	must.LessEq(t, 0.5, got["pauses 0.8 s"]["frugal"].work/got["pauses 0.8 s"]["fast"].work)
	must.Less(t, got["healthy"]["always race at any gap"].work/10, got["healthy"]["fast"].work)
}
