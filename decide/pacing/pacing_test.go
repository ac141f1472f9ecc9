package pacing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
)

const (
	routeWait  = 30 * time.Second
	routeDrain = 10000.0
)

// node is a node under test with its clock.
type node struct {
	state *pacing.State
	now   time.Time
	rng   *rand.Rand
}

func newNode() *node {
	return &node{state: pacing.New(), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1))}
}

func arrival(content string, remaining time.Duration) pacing.Arrival {
	return pacing.Arrival{Route: "r", Content: vaneyoke.ContentID(content), Remaining: remaining}
}

func (n *node) classify(content string, remaining time.Duration) pacing.Return {
	return n.state.Classify(n.now, arrival(content, remaining))
}

func (n *node) reject(content string, remaining time.Duration) time.Duration {
	return n.rejectUrgency(content, remaining, 0)
}

func (n *node) rejectUrgency(content string, remaining time.Duration, urgency int) time.Duration {
	return n.state.RetryAfter(n.now, n.rng, pacing.Rejection{
		Arrival: arrival(content, remaining), Service: "s", Urgency: urgency, Prompt: 1000, Ahead: 5000, Drain: routeDrain,
	})
}

// TestRetryBeforeItsTimeGainsNothing has a caller repeat a rejected request at once.
func TestRetryBeforeItsTimeGainsNothing(t *testing.T) {
	n := newNode()
	must.EqOp(t, pacing.ReturnNone, n.classify("a", routeWait))
	due := n.now.Add(n.reject("a", routeWait))
	for range 4 {
		n.now = n.now.Add(10 * time.Millisecond)
		must.EqOp(t, pacing.ReturnEarly, n.classify("a", routeWait-10*time.Millisecond))
		again := n.now.Add(n.reject("a", routeWait-10*time.Millisecond))
		must.True(t, again.After(due))
		due = again
	}
	n.now = due
	must.EqOp(t, pacing.ReturnOnTime, n.classify("a", routeWait-time.Second))
	must.EqOp(t, pacing.ReturnNone, n.classify("a", routeWait), must.Sprint("a copy of a request that came back is taken for one, too"))
}

// TestRetryAtOtherNodeIsNotRecognised checks that a node recognises by its age a retry of a caller that another node rejected.
func TestRetryAtOtherNodeIsNotRecognised(t *testing.T) {
	first, second := newNode(), newNode()
	must.EqOp(t, pacing.ReturnNone, first.classify("a", routeWait))
	must.EqOp(t, pacing.ReturnNone, second.classify("b", routeWait))
	wait := first.reject("a", routeWait)
	second.reject("b", routeWait) // nodes reject alike
	second.now = second.now.Add(wait)
	must.EqOp(t, pacing.ReturnNone, second.classify("c", routeWait-5*time.Millisecond), must.Sprint("jitter is taken for age"))
	must.EqOp(t, pacing.ReturnOnTime, second.classify("a", routeWait-wait))
}

// TestShortDeadlineIsTakenForRetry has callers whose own deadline is shorter than that of the others: no more of them are taken for retries
// than this node's rejections account for.
func TestShortDeadlineIsTakenForRetry(t *testing.T) {
	n := newNode()
	n.classify("long", routeWait)
	must.EqOp(t, pacing.ReturnNone, n.classify("short", routeWait/3), must.Sprint("without any rejection"))
	for i := range 5 {
		n.reject(fmt.Sprint(i), routeWait)
	}
	believed := 0
	for i := range 1000 {
		if n.classify(fmt.Sprint("short", i), routeWait/3) == pacing.ReturnOnTime {
			believed++
		}
	}
	must.EqOp(t, 10, believed)
	n.reject("last", routeWait)
	n.now = n.now.Add(time.Minute)
	must.EqOp(t, pacing.ReturnNone, n.classify("late", routeWait/3), must.Sprint("the rejection is long past"))
}

// TestShorterTimeoutMakesEveryCallerLookLikeRetry checks that a node adapts to a route whose timeout was reduced.
func TestShorterTimeoutMakesEveryCallerLookLikeRetry(t *testing.T) {
	n := newNode()
	n.classify("a", routeWait)
	for i := range 300 {
		n.now = n.now.Add(time.Second)
		n.classify(fmt.Sprint(i), routeWait/3)
	}
	n.reject("b", routeWait/3)
	must.EqOp(t, pacing.ReturnNone, n.classify("c", routeWait/3))
}

// TestCallerWithoutDeadlineLooksLikeRetry checks callers whose deadline is not known.
func TestCallerWithoutDeadlineLooksLikeRetry(t *testing.T) {
	n := newNode()
	n.classify("a", routeWait)
	n.reject("a", routeWait)
	must.EqOp(t, pacing.ReturnNone, n.classify("b", 0))
	must.EqOp(t, pacing.ReturnNone, n.classify("c", -time.Hour))
	must.Positive(t, n.reject("b", 0))
}

// TestRejectionsAreToldTheSameMoment checks that callers that are rejected at the same time come back at the rate at which the node drains.
func TestRejectionsAreToldTheSameMoment(t *testing.T) {
	n := newNode()
	const callers = 80 // 8 s of work, within a third of their time
	var bins [20]int
	for i := range callers {
		bins[int(n.reject(fmt.Sprint(i), routeWait)/time.Second)]++
	}
	for _, count := range bins {
		must.LessEq(t, int(routeDrain)/1000+1, count)
	}
}

// TestLessUrgentCallerComesBackFirst checks that a less urgent caller waits longer, and that its reservations delay no urgent one.
func TestLessUrgentCallerComesBackFirst(t *testing.T) {
	n := newNode()
	must.Greater(t, newNode().rejectUrgency("a", routeWait, 0), newNode().rejectUrgency("a", routeWait, 2))
	for i := range 200 {
		n.rejectUrgency(fmt.Sprint(i), routeWait, 2)
	}
	n.now = n.now.Add(2 * time.Second) // into the less urgent reservations
	must.Less(t, time.Second, n.rejectUrgency("urgent", routeWait, 0))
}

// TestContentIsRememberedForever has a content arrive again long after its time, and after a jump of the clock to long before.
func TestContentIsRememberedForever(t *testing.T) {
	for _, elapsed := range []time.Duration{time.Hour, -time.Hour} {
		n := newNode()
		n.classify("a", routeWait)
		n.reject("a", routeWait)
		n.now = n.now.Add(elapsed)
		must.EqOp(t, pacing.ReturnNone, n.classify("a", routeWait))
	}
}

// TestNoTimeForComputedWait checks that callers are told no more than a third of their time, and are spread over the later half of it.
func TestNoTimeForComputedWait(t *testing.T) {
	n := newNode()
	var bins [4]int // of half a second, from 1 s to 3 s
	for i := range 3000 {
		wait := n.reject(fmt.Sprint(i), 9*time.Second)
		must.LessEq(t, 3*time.Second, wait)
		if wait >= time.Second {
			bins[(wait-time.Second)/(500*time.Millisecond)]++
		}
	}
	must.Less(t, 1000, max(bins[1], bins[2], bins[3]), must.Sprint("they come back at once"))
	must.Less(t, 3*time.Second+1, n.state.RetryAfter(n.now, n.rng, pacing.Rejection{
		Arrival: arrival("x", 9*time.Second), Service: "other", Prompt: 100, Ahead: math.MaxInt, Drain: 1,
	}))
}

// TestClockLagDropsReservations checks that a caller's clock that lags behind by some milliseconds leaves the reservations as they are.
func TestClockLagDropsReservations(t *testing.T) {
	n := newNode()
	n.now = n.now.Add(time.Second)
	for i := range 50 {
		n.now = n.now.Add(-time.Duration(i%2) * 150 * time.Millisecond)
		n.reject(fmt.Sprint(i), routeWait)
		n.now = n.now.Add(time.Duration(i%2) * 150 * time.Millisecond)
	}
	must.Greater(t, 4*time.Second, n.reject("last", routeWait))
}

// TestHostileValues checks the bounds of the result for any values, with clocks that jump.
func TestHostileValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		drains := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), math.SmallestNonzeroFloat64}))
		tokens := rapid.OneOf(rapid.IntRange(0, 5000), rapid.Int())
		durations := rapid.OneOf(rapid.Int64Range(0, int64(time.Minute)), rapid.Int64())
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			n.now = n.now.Add(time.Duration(durations.Draw(t, "elapsed")))
			a := arrival(rapid.StringN(0, 2, 2).Draw(t, "content"), time.Duration(durations.Draw(t, "remaining")))
			a.Route = vaneyoke.RouteID(rapid.StringN(0, 1, 1).Draw(t, "route"))
			n.state.Classify(n.now, a)
			wait := n.state.RetryAfter(n.now, n.rng, pacing.Rejection{
				Arrival: a, Service: vaneyoke.ServiceID(rapid.StringN(0, 1, 1).Draw(t, "service")), Urgency: tokens.Draw(t, "urgency"),
				Prompt: vaneyoke.Tokens(tokens.Draw(t, "prompt")), Ahead: vaneyoke.Tokens(tokens.Draw(t, "ahead")), Drain: drains.Draw(t, "drain"),
			})
			if wait < pacing.MinRetryAfter || wait > 25*time.Second || (a.Remaining > 0 && wait > max(a.Remaining/3, pacing.MinRetryAfter)) {
				t.Fatalf("told %v with %v remaining", wait, a.Remaining)
			}
		}
	})
}

// TestOneLongDeadlineMakesOthersReturns has a single caller of a route allow an hour and all others half a minute: their first attempts looked
// like returns until the hour had decayed, and used up what was expected of those that this node had rejected.
func TestOneLongDeadlineMakesOthersReturns(t *testing.T) {
	n := newNode()
	n.classify("long", time.Hour)
	n.reject("other", routeWait)
	for i := range 5 {
		n.now = n.now.Add(time.Second)
		must.EqOp(t, pacing.ReturnNone, n.classify(fmt.Sprint("first ", i), routeWait))
	}
	must.EqOp(t, pacing.ReturnOnTime, n.classify("rejected elsewhere", routeWait-5*time.Second))
}
