package pushback_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

var (
	start    = time.Unix(1000, 0)
	upstream = vaneyoke.Upstream{ID: "u", URL: "http://u", Incarnation: 5}
)

// answer is a response that carries signals, received after some time.
type answer struct {
	after    time.Duration
	from     vaneyoke.Upstream
	pushback time.Duration
	leaving  bool
}

func (a answer) record(t *pushback.Tracker) {
	t.Record(start.Add(a.after), pushback.Signal{Upstream: a.from, Pushback: a.pushback, Leaving: a.leaving})
}

// TestHoldLastsAsLongAsRequested lists signals from an upstream and how long it is held back for them.
func TestHoldLastsAsLongAsRequested(t *testing.T) {
	restarted, moved, earlier, unknown := upstream, upstream, upstream, upstream
	restarted.Incarnation, moved.URL, earlier.Incarnation, unknown.Incarnation = 6, "http://other", 4, 0
	const s = time.Second
	cases := map[string]struct {
		answers []answer
		listed  vaneyoke.Upstream
		until   time.Duration // 0 if it is not held back
	}{
		"nothing":                                 {nil, upstream, 0},
		"a pushback":                              {[]answer{{0, upstream, 3 * s, false}}, upstream, 3 * s},
		"a fraction of a second":                  {[]answer{{0, upstream, s / 4, false}}, upstream, s / 4},
		"the longest that is honoured":            {[]answer{{0, upstream, 60 * s, false}}, upstream, 60 * s},
		"longer than is honoured":                 {[]answer{{0, upstream, 61 * s, false}}, upstream, 5 * s},
		"overflows the clock":                     {[]answer{{0, upstream, math.MaxInt64, false}}, upstream, 5 * s},
		"a negative one":                          {[]answer{{0, upstream, -3 * s, false}}, upstream, 0},
		"a later one extends the hold":            {[]answer{{0, upstream, 3 * s, false}, {s, upstream, 3 * s, false}}, upstream, 4 * s},
		"a shorter one does not shorten":          {[]answer{{0, upstream, 3 * s, false}, {s, upstream, s, false}}, upstream, 3 * s},
		"one that is too long does not shorten":   {[]answer{{0, upstream, 30 * s, false}, {s, upstream, math.MaxInt64, false}}, upstream, 30 * s},
		"a response without one ends nothing":     {[]answer{{0, upstream, 3 * s, false}, {s, upstream, 0, false}}, upstream, 3 * s},
		"shuts down":                              {[]answer{{0, upstream, 0, true}}, upstream, 600 * s},
		"shuts down, then pushes back":            {[]answer{{0, upstream, 0, true}, {s, upstream, 3 * s, false}}, upstream, 600 * s},
		"pushes back, then shuts down":            {[]answer{{0, upstream, 3 * s, false}, {s, upstream, 0, true}}, upstream, 601 * s},
		"next incarnation is not held":            {[]answer{{0, upstream, 3 * s, true}}, restarted, 0},
		"another address is not held":             {[]answer{{0, upstream, 3 * s, true}}, moved, 0},
		"an older list does not end it":           {[]answer{{0, restarted, 3 * s, false}}, upstream, 3 * s},
		"unknown incarnation":                     {[]answer{{0, unknown, 3 * s, false}}, upstream, 3 * s},
		"late signal of an earlier incarnation":   {[]answer{{0, restarted, s, false}, {0, earlier, 3 * s, true}}, restarted, s},
		"only a signal of an earlier incarnation": {[]answer{{0, earlier, 3 * s, true}}, upstream, 0},
		"both incarnations push back":             {[]answer{{0, upstream, 30 * s, false}, {s, restarted, 3 * s, false}}, restarted, 4 * s},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := pushback.NewTracker()
			for _, a := range tc.answers {
				a.record(tracker)
			}
			held := func(after time.Duration) bool { return tracker.Hold("u").Active(start.Add(after), &tc.listed) }
			if tc.until == 0 {
				must.False(t, held(time.Second))
				return
			}
			must.True(t, held(tc.until-time.Millisecond))
			must.False(t, held(tc.until))
		})
	}
}

// TestQuestionsAreHeldByPushbacksAlone covers status queries: an upstream that is shutting down still answers them for the runs that it has begun,
// so only a pushback suppresses them.
func TestQuestionsAreHeldByPushbacksAlone(t *testing.T) {
	tracker := pushback.NewTracker()
	answer{0, upstream, 0, true}.record(tracker)
	must.True(t, tracker.Hold("u").IsLeaving(start, &upstream))
	must.False(t, tracker.Hold("u").IsPushedBack(start, &upstream))
	answer{0, upstream, time.Second, false}.record(tracker)
	must.True(t, tracker.Hold("u").IsPushedBack(start, &upstream))
}

// TestTrackerIsBounded has more upstreams push back than the tracker keeps: it drops those whose pushback ends first.
func TestTrackerIsBounded(t *testing.T) {
	tracker := pushback.NewTracker()
	const count = 1<<14 + 100
	for i := range count {
		u := vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint("u", i)), URL: "http://u"}
		answer{0, u, time.Duration(i+1) * time.Millisecond, false}.record(tracker)
	}
	last := vaneyoke.UpstreamID(fmt.Sprint("u", count-1))
	u := vaneyoke.Upstream{ID: last, URL: "http://u"}
	must.True(t, tracker.Hold(last).Active(start, &u))
	must.Nil(t, tracker.Hold("u0"))
	answer{time.Minute, upstream, time.Second, false}.record(tracker)
	must.Nil(t, tracker.Hold(last)) // expired
}
