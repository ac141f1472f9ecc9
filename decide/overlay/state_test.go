package overlay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
)

const upstream = "10.0.0.1:80"

var start = time.Unix(1000, 0)

// newState returns the state of a node with a number of helpers in its data centre.
func newState(helpers int) *overlay.State {
	s := overlay.New("a", rand.New(rand.NewPCG(1, 1)))
	var candidates []overlay.Candidate
	for i := range helpers {
		candidates = append(candidates, overlay.Candidate{VM: vaneyoke.VMID(fmt.Sprint("h", i)), DataCentre: "a"})
	}
	s.SetCandidates(candidates)
	return s
}

func isDirectFirst(s *overlay.State, now time.Time) bool {
	return s.Plan(now, upstream).Ways[0].IsDirect()
}

// TestPathIsLostOnlyOnEvidence checks which observations make a node leave its own path.
func TestPathIsLostOnlyOnEvidence(t *testing.T) {
	cases := map[string]struct {
		observe func(s *overlay.State)
		lost    bool
	}{
		"nothing":                  {func(*overlay.State) {}, false},
		"a failure":                {func(s *overlay.State) { s.DirectFailed(start, upstream) }, false},
		"a helper that was faster": {func(s *overlay.State) { s.DetourConnected(start, upstream, "h0") }, false},
		"a failure, then a helper": {func(s *overlay.State) { s.DirectFailed(start, upstream); s.DetourConnected(start, upstream, "h0") }, true},
		"a helper, then a failure": {func(s *overlay.State) { s.DetourConnected(start, upstream, "h0"); s.DirectFailed(start, upstream) }, true},
		"a helper long before": {func(s *overlay.State) {
			s.DetourConnected(start.Add(-2*time.Second), upstream, "h0")
			s.DirectFailed(start, upstream)
		}, false},
		"helpers that miss it, too": {func(s *overlay.State) {
			s.DirectFailed(start, upstream)
			s.DetourRefused(start, upstream, "h0", overlay.RefusalMissed)
		}, false},
		"a late direct connection": {func(s *overlay.State) {
			s.DirectFailed(start, upstream)
			s.DetourConnected(start, upstream, "h0")
			s.DirectConnected(start, upstream)
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(3)
			tc.observe(s)
			must.EqOp(t, tc.lost, !isDirectFirst(s, start))
		})
	}
}

// TestFlappingPathIsTriedLessOften restores and loses a path again and again: it is tried after ever longer times, up to a bound.
func TestFlappingPathIsTriedLessOften(t *testing.T) {
	s, now := newState(2), start
	var intervals []time.Duration
	for range 7 {
		s.DirectFailed(now, upstream)
		s.DetourConnected(now, upstream, "h0")
		lostAt := now
		for !s.Plan(now, upstream).Probe {
			now = now.Add(10 * time.Millisecond)
		}
		intervals = append(intervals, now.Sub(lostAt))
		s.DirectConnected(now, upstream)
		must.True(t, isDirectFirst(s, now))
		now = now.Add(time.Millisecond)
	}
	must.EqOp(t, 500*time.Millisecond, intervals[0])
	must.EqOp(t, 8*time.Second, intervals[6])
	now = now.Add(time.Minute)
	s.DirectFailed(now, upstream)
	s.DetourConnected(now, upstream, "h0")
	must.True(t, s.Plan(now.Add(500*time.Millisecond), upstream).Probe)
}

// TestLostPathIsTriedOnceAnInterval checks that of many connections over detours only one in each interval tries the lost path as well.
func TestLostPathIsTriedOnceAnInterval(t *testing.T) {
	s := newState(2)
	s.DirectFailed(start, upstream)
	s.DetourConnected(start, upstream, "h0")
	probes := 0
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(time.Millisecond) {
		if s.Plan(at, upstream).Probe {
			probes++
			s.DirectFailed(at, upstream)
		}
	}
	must.EqOp(t, 9, probes)
}

// TestUpstreamIsDownOnceConfirmed checks how many helpers have to miss an upstream.
func TestUpstreamIsDownOnceConfirmed(t *testing.T) {
	for helpers, needed := range map[int]int{0: 1, 1: 1, 2: 2, 5: 2} {
		s := newState(helpers)
		for i := range needed {
			must.False(t, s.IsDown(start, upstream))
			s.DetourRefused(start, upstream, vaneyoke.VMID(fmt.Sprint("h", i)), overlay.RefusalMissed)
			s.DetourRefused(start, upstream, vaneyoke.VMID(fmt.Sprint("h", i)), overlay.RefusalMissed)
		}
		must.True(t, s.IsDown(start, upstream))
		must.False(t, s.MayTry(start, upstream, overlay.Way{Helper: "h0"}))
		must.True(t, s.MayTry(start, upstream, overlay.Way{}))
		must.False(t, s.IsDown(start.Add(time.Second), upstream))
		s.DirectConnected(start, upstream)
		must.False(t, s.IsDown(start, upstream))
	}
}

// TestUselessTrialsRunOut checks that a node whose paths work asks helpers for one connection in ten, even if upstreams are slow to accept.
func TestUselessTrialsRunOut(t *testing.T) {
	s, tries := newState(3), 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		plan := s.Plan(now, upstream)
		if s.MayTry(now, upstream, plan.Ways[1]) {
			tries++
			s.DetourOvertaken(now, plan.Ways[1].Helper, 0)
		}
		s.DirectConnected(now, upstream)
	}
	must.Between(t, 100, tries, 110)
}

// TestHelperTellsMissesFromItsOwnLosses checks what a node tells another one that asks for an upstream which it cannot connect to.
func TestHelperTellsMissesFromItsOwnLosses(t *testing.T) {
	s := newState(2)
	must.EqOp(t, overlay.HelpConnects, s.Help(start, upstream))
	s.DirectFailed(start, upstream)
	must.EqOp(t, overlay.HelpNoPath, s.Help(start, upstream)) // it has reached nothing else
	s.DirectConnected(start, "10.0.0.2:80")
	s.DirectConnected(start, "10.0.0.3:80")
	must.EqOp(t, overlay.HelpMissed, s.Help(start, upstream))
	must.EqOp(t, overlay.HelpConnects, s.Help(start.Add(time.Second), upstream))
	s.DetourConnected(start, upstream, "h1")
	must.EqOp(t, overlay.HelpNoPath, s.Help(start.Add(time.Second), upstream))
}

// TestUnhelpfulNodesAreLeftAlone checks which helpers are asked again, and that a helper without a path to one upstream is asked for others.
func TestUnhelpfulNodesAreLeftAlone(t *testing.T) {
	cases := map[string]struct {
		refusal     overlay.Refusal
		here, there time.Duration // until it is asked for the same upstream, and for another one
	}{
		"missed":   {overlay.RefusalMissed, 0, 0},
		"no path":  {overlay.RefusalNoPath, 500 * time.Millisecond, 0},
		"busy":     {overlay.RefusalBusy, 500 * time.Millisecond, 500 * time.Millisecond},
		"slow":     {overlay.RefusalNoAnswer, 500 * time.Millisecond, 500 * time.Millisecond},
		"unusable": {overlay.RefusalUnusable, 10 * time.Second, 10 * time.Second},
		"stopping": {overlay.RefusalStopping, 10 * time.Second, 10 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(2)
			s.DetourRefused(start, upstream, "h0", tc.refusal)
			asked := func(at time.Duration, address string) bool {
				return slices.Contains(s.Plan(start.Add(at), address).Ways, overlay.Way{Helper: "h0"})
			}
			for address, until := range map[string]time.Duration{upstream: tc.here, "10.0.0.2:80": tc.there} {
				must.True(t, asked(until, address))
				if until > 0 {
					must.False(t, asked(until-1, address))
				}
			}
		})
	}
}

// TestSlowHelpersLeaveNone has all helpers answer too late, as in a moment of load: a node without a path of its own must go on asking one.
func TestSlowHelpersLeaveNone(t *testing.T) {
	for _, refusal := range []overlay.Refusal{overlay.RefusalBusy, overlay.RefusalNoAnswer, overlay.RefusalUnusable} {
		s := newState(3)
		for i := range 3 {
			s.DetourRefused(start, upstream, vaneyoke.VMID(fmt.Sprint("h", i)), refusal)
		}
		must.Len(t, 2, s.Plan(start, upstream).Ways)
	}
}

// TestStoppingHelperIsTheLastResort checks that a helper which is stopping is asked after all others, as long as it says nothing else.
func TestStoppingHelperIsTheLastResort(t *testing.T) {
	last := overlay.Way{Helper: "h0", LastResort: true}
	cases := map[string]struct {
		observe func(s *overlay.State)
		asked   bool // as the last of the helpers
	}{
		"stopping": {func(*overlay.State) {}, true},
		"the others refuse": {func(s *overlay.State) {
			s.DetourRefused(start, upstream, "h1", overlay.RefusalBusy)
			s.DetourRefused(start, upstream, "h2", overlay.RefusalNoPath)
		}, true},
		"it has connected":             {func(s *overlay.State) { s.DetourConnected(start, upstream, "h0") }, true},
		"its own path may be lost":     {func(s *overlay.State) { s.DetourRefused(start, upstream, "h0", overlay.RefusalNoPath) }, false},
		"it has stopped":               {func(s *overlay.State) { s.DetourRefused(start, upstream, "h0", overlay.RefusalUnusable) }, false},
		"another one began to stop":    {func(s *overlay.State) { s.DetourRefused(start.Add(1), upstream, "h1", overlay.RefusalStopping) }, false},
		"another one stopped likewise": {func(s *overlay.State) { s.DetourRefused(start.Add(-1), upstream, "h1", overlay.RefusalStopping) }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(3)
			s.DetourRefused(start, upstream, "h0", overlay.RefusalStopping)
			tc.observe(s)
			now := start.Add(2)
			ways := s.Plan(now, upstream).Ways
			must.EqOp(t, tc.asked, ways[len(ways)-1] == last)
			must.False(t, slices.Contains(ways[:len(ways)-1], last))
			must.False(t, slices.Contains(ways, overlay.Way{Helper: "h0"}))
			must.False(t, slices.Contains(s.Plan(start.Add(10*time.Second), upstream).Ways, last))
		})
	}
}

// TestUpstreamWithoutWaysDelaysAttempts checks that after a search without success others for the same upstream are not held up by one for a while.
func TestUpstreamWithoutWaysDelaysAttempts(t *testing.T) {
	s := newState(3)
	h0 := overlay.Way{Helper: "h0"}
	must.True(t, s.MayTry(start, upstream, h0))
	s.NoneConnected(start, upstream)
	must.False(t, s.MayTry(start.Add(249*time.Millisecond), upstream, h0))
	must.True(t, s.MayTry(start, "10.0.0.2:80", h0))
	must.True(t, s.MayTry(start.Add(250*time.Millisecond), upstream, h0))
}

// TestStateIsBounded connects to many addresses through many helpers, all of which refuse.
func TestStateIsBounded(t *testing.T) {
	s := newState(2000)
	for i := range 20_000 {
		now, address := start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("address ", i)
		for _, way := range s.Plan(now, address).Ways {
			if !way.IsDirect() {
				s.DetourRefused(now, address, way.Helper, overlay.RefusalUnusable)
			}
		}
		s.DirectFailed(now, address)
	}
	must.LessEq(t, 1<<12, s.Summary(start.Add(20*time.Second)).Unreached)
	must.LessEq(t, 64, s.KnownHelpers())
}
