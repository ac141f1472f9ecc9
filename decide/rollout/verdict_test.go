package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// behaviour describes the answers of a version's upstreams.
type behaviour struct {
	failureRate float64
	emptyRate   float64 // of streams that end without an event
	slowdown    float64 // factor on the latency of the baseline
}

// randomAnswer draws an answer of a version; usual is the latency of the baseline.
func (b behaviour) randomAnswer(rng *rand.Rand, usual time.Duration) rollout.Answer {
	if rng.Float64() < b.failureRate {
		return rollout.Answer{Kind: rollout.AnswerFailed, Took: usual}
	}
	if b.emptyRate > 0 && rng.Float64() < b.emptyRate {
		return rollout.Answer{Kind: rollout.AnswerEmpty, Took: usual}
	}
	jitter := 0.5 + rng.ExpFloat64()*0.5
	return rollout.Answer{Kind: rollout.AnswerGood, Took: time.Duration(float64(usual) * jitter * max(b.slowdown, 1))}
}

// TestVerdictErrorRates draws answers one by one until there is a verdict, and bounds both error rates and the number of answers needed. In
// some cases the baseline fails some calls too.
func TestVerdictErrorRates(t *testing.T) {
	const trials, maxAnswers = 300, 400
	cases := map[string]struct {
		baseline, target behaviour
		isBad            bool
		meanAnswers      int     // largest mean number of the target's answers until the verdict
		wrongShare       float64 // largest share of wrong verdicts
	}{
		"equally good":                     {behaviour{}, behaviour{}, false, 25, 0.02},
		"equally good, baseline fails too": {behaviour{failureRate: 0.14}, behaviour{failureRate: 0.14}, false, 80, 0.02},
		"slightly slower":                  {behaviour{}, behaviour{slowdown: 1.3}, false, 40, 0.08},
		"fails half":                       {behaviour{}, behaviour{failureRate: 0.5}, true, 10, 0.02},
		"fails a quarter":                  {behaviour{}, behaviour{failureRate: 0.25}, true, 25, 0.02},
		"fails more than the baseline":     {behaviour{failureRate: 0.14}, behaviour{failureRate: 0.5}, true, 30, 0.02},
		"three times slower":               {behaviour{}, behaviour{slowdown: 3}, true, 20, 0.02},
		"eight times slower":               {behaviour{}, behaviour{slowdown: 8}, true, 10, 0.02},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 11))
			wrong, answers, undecided := 0, 0, 0
			for range trials {
				verdict, n := answersUntilVerdict(rng, tc.baseline, tc.target, maxAnswers)
				answers += n
				switch {
				case verdict == rollout.VerdictOpen:
					undecided++
				case (verdict == rollout.VerdictBad) != tc.isBad:
					wrong++
				}
			}
			t.Logf("wrong %d, undecided %d of %d, mean of %d answers", wrong, undecided, trials, answers/trials)
			must.LessEq(t, tc.wrongShare*trials, float64(wrong))
			must.LessEq(t, 0.03*trials, float64(undecided))
			must.LessEq(t, tc.meanAnswers, answers/trials)
		})
	}
}

// Guards against a version that ends streams without an event and is found good, as those are in no count.
func TestVersionThatEndsStreamsWithoutAnEventIsFoundGood(t *testing.T) {
	cases := map[string]struct {
		baseline, target float64 // share of streams that end without an event
		isBad            bool
	}{
		"all":                  {0, 1, true},
		"half":                 {0, 0.5, true},
		"as many as before":    {0.3, 0.3, false},
		"more than before":     {0.1, 0.6, true},
		"fewer than before":    {0.5, 0, false},
		"none, before as well": {0, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(5, 13))
			for range 50 {
				verdict, _ := answersUntilVerdict(rng, behaviour{emptyRate: tc.baseline}, behaviour{emptyRate: tc.target}, 1000)
				must.EqOp(t, tc.isBad, verdict == rollout.VerdictBad)
			}
		})
	}
}

// answersUntilVerdict draws answers until there is a verdict; the baseline gives nine for each of the target's.
func answersUntilVerdict(rng *rand.Rand, baseline, target behaviour, maxAnswers int) (rollout.Verdict, int) {
	c := newCounter()
	for n := 1; n <= maxAnswers; n++ {
		for range 9 {
			c.addAnswer("old", "r", baseline.randomAnswer(rng, 100*time.Millisecond))
		}
		c.addAnswer("new", "r", target.randomAnswer(rng, 100*time.Millisecond))
		if verdict, _ := rollout.Evaluate(c.tally()); verdict != rollout.VerdictOpen {
			return verdict, n
		}
	}
	return rollout.VerdictOpen, maxAnswers
}

// counter wraps the state of a node that counts the answers of a rollout.
type counter struct {
	state *rollout.State
	now   time.Time
}

func newCounter() *counter {
	c := &counter{state: rollout.New("vm", rollout.Config{Exposure: 0.1}), now: time.Unix(1000, 0)}
	c.state.Handle(c.now, rollout.RecordsUpdated{Rows: []rollout.Row{{Record: rollout.Record{Service: "s", Target: "new", Order: 5, Stage: rollout.StageCanary}}}})
	return c
}

func (c *counter) addAnswer(version vaneyoke.SoftwareVersion, route vaneyoke.RouteID, a rollout.Answer) {
	c.state.Handle(c.now, rollout.Answered{Upstream: vaneyoke.Upstream{ID: vaneyoke.UpstreamID(version), Service: "s", Version: version}, Route: route, Answer: a})
}

func (c *counter) tally() rollout.Tally { return c.state.Reports()[0].Tally }

// TestBadOnOneRouteIsBad guards against missing failures on one of many routes.
func TestBadOnOneRouteIsBad(t *testing.T) {
	c := newCounter()
	for n := range 30 {
		for route := range 6 {
			c.addAnswer("old", vaneyoke.RouteID(fmt.Sprint(route)), rollout.Answer{Kind: rollout.AnswerGood, Took: time.Second})
			kind := rollout.AnswerGood
			if route == 4 && n%2 == 0 {
				kind = rollout.AnswerFailed
			}
			c.addAnswer("new", vaneyoke.RouteID(fmt.Sprint(route)), rollout.Answer{Kind: kind, Took: time.Second})
		}
	}
	verdict, reason := rollout.Evaluate(c.tally())
	must.EqOp(t, rollout.VerdictBad, verdict)
	must.EqOp(t, rollout.ReasonFailures, reason)
}

// TestSlowChunksAreBad sends the first chunks of a version's streams in time and the following ones several times slower.
func TestSlowChunksAreBad(t *testing.T) {
	c := newCounter()
	for range 20 {
		for _, version := range []vaneyoke.SoftwareVersion{"old", "new"} {
			gap := 40 * time.Millisecond
			if version == "new" {
				gap *= 4
			}
			c.addAnswer(version, "r", rollout.Answer{Kind: rollout.AnswerGood, Took: time.Second})
			c.addAnswer(version, "r", rollout.Answer{Kind: rollout.AnswerChunkGap, Took: gap})
		}
	}
	verdict, reason := rollout.Evaluate(c.tally())
	must.EqOp(t, rollout.VerdictBad, verdict)
	must.EqOp(t, rollout.ReasonSlow, reason)
}

// TestLossesCountOnceTheUpstreamAnswersAgain distinguishes a version whose upstream crashed from one that loses answers.
func TestLossesCountOnceTheUpstreamAnswersAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		answersAgain bool
		verdict      rollout.Verdict
	}{
		"died":  {false, rollout.VerdictOpen},
		"loses": {true, rollout.VerdictBad},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCounter()
			for range 8 {
				c.addAnswer("old", "r", rollout.Answer{Kind: rollout.AnswerGood, Took: time.Second})
				c.addAnswer("new", "r", rollout.Answer{Kind: rollout.AnswerLost})
			}
			if tc.answersAgain {
				c.addAnswer("new", "r", rollout.Answer{Kind: rollout.AnswerGood, Took: time.Second})
			}
			verdict, _ := rollout.Evaluate(c.tally())
			must.EqOp(t, tc.verdict, verdict)
		})
	}
}

// TestTallyIsBounded counts answers on 1000 routes; the report must stay small.
func TestTallyIsBounded(t *testing.T) {
	c := newCounter()
	for route := range 1000 {
		c.addAnswer("new", vaneyoke.RouteID(fmt.Sprint("route-", route)), rollout.Answer{Kind: rollout.AnswerGood, Took: time.Duration(route) * time.Millisecond})
	}
	must.LessEq(t, 17, len(c.tally()))
}
