package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
)

const (
	loadTime  = 40 * time.Second
	normal    = 0.8 // load at which a fleet is run, as a share of its capacity
	loadSeeds = 3
)

var (
	bothKinds = []kindOfRequest{urgentKind, routineKind}
	threeOf   = []vaneyoke.WorkspaceID{"a", "b", "c"}
)

func isUrgent(j *job) bool  { return j.urgency == urgentKind.urgency }
func isRoutine(j *job) bool { return j.urgency == routineKind.urgency }

// playOverload plays a multiple of the normal load and returns the outcomes of urgent and routine requests over all seeds.
func playOverload(mode admission.Mode, factor float64) (urgent, routine outcome) {
	for seed := range uint64(loadSeeds) {
		w := newWorld(seed, mode, 4)
		w.slowHalf()
		w.play(loadTime, factor*normal*w.capacity(), bothKinds, threeOf)
		w.play(callerTime, 0, bothKinds, threeOf)
		urgent, routine = urgent.plus(w.count(isUrgent)), routine.plus(w.count(isRoutine))
	}
	return urgent, routine
}

// TestOverloadKeepsGoodputAndUrgency answers three and eight times the traffic while half of the engines are three times slower. What engines
// serve must not fall as more is asked for, and urgent requests must be in time at least as often as routine ones: an operator who marks a route
// as urgent relies on that when there is too little for all.
func TestOverloadKeepsGoodputAndUrgency(t *testing.T) {
	t.Parallel()
	holds := func(mode admission.Mode) bool {
		urgent, routine := playOverload(mode, 1)
		once, ok := urgent.tokens+routine.tokens, true
		t.Logf("%v, once the normal load: urgent %v; routine %v; %d tokens", mode, urgent, routine, once)
		for _, factor := range []float64{3, 8} {
			urgent, routine = playOverload(mode, factor)
			tokens := urgent.tokens + routine.tokens
			t.Logf("%v, %v times: urgent %v; routine %v; %d tokens", mode, factor, urgent, routine, tokens)
			ok = ok && urgent.share() >= routine.share() && tokens >= once
		}
		return ok
	}
	must.True(t, holds(admission.ModeRanked))
	must.False(t, holds(admission.ModePassive))
}

// playWorkspace plays one workspace at a multiple of its traffic beside five others and returns the outcome of those over all seeds.
func playWorkspace(t *testing.T, mode admission.Mode, factor int) outcome {
	isOther := func(j *job) bool { return j.workspace != "a" }
	var others, own outcome
	for seed := range uint64(loadSeeds) {
		w := newWorld(seed, mode, 4)
		workspaces := []vaneyoke.WorkspaceID{"b", "c", "d", "e", "f"}
		rate := normal / 2 * w.capacity() / float64(len(workspaces)+1) // of a workspace
		for range factor {
			workspaces = append(workspaces, "a")
		}
		w.play(loadTime, rate*float64(len(workspaces)), []kindOfRequest{routineKind}, workspaces)
		w.play(callerTime, 0, bothKinds, workspaces)
		others, own = others.plus(w.count(isOther)), own.plus(w.count(func(j *job) bool { return !isOther(j) }))
	}
	t.Logf("%v, one workspace at %d times: others %v; it %v", mode, factor, others, own)
	return others
}

// TestOneWorkspaceDoesNotDisplaceOthers answers one workspace at twelve times its traffic. The others have not changed and keep what they had but
// for a twentieth.
func TestOneWorkspaceDoesNotDisplaceOthers(t *testing.T) {
	t.Parallel()
	holds := func(mode admission.Mode) bool {
		before, now := playWorkspace(t, mode, 1), playWorkspace(t, mode, 12)
		return now.share() > 0.95*before.share() && now.served*before.offered > 95*before.served*now.offered/100
	}
	must.True(t, holds(admission.ModeRanked))
	must.False(t, holds(admission.ModePassive))
}

// TestServiceRecoversAfterOverload answers three times the traffic that ends. Callers who come five seconds later must be served as before it.
func TestServiceRecoversAfterOverload(t *testing.T) {
	t.Parallel()
	const within = 5 * time.Second
	holds := func(mode admission.Mode) bool {
		var before, after outcome
		for seed := range uint64(loadSeeds) {
			w := newWorld(seed, mode, 4)
			w.play(10*time.Second, normal/2*w.capacity(), bothKinds, threeOf)
			loadFrom := w.now
			w.play(loadTime, 3*normal*w.capacity(), bothKinds, threeOf)
			back := w.now.Add(within)
			w.play(within+10*time.Second, normal/2*w.capacity(), bothKinds, threeOf)
			w.play(callerTime, 0, bothKinds, threeOf)
			before = before.plus(w.count(func(j *job) bool { return j.arrivedAt.Before(loadFrom) }))
			after = after.plus(w.count(func(j *job) bool { return !j.arrivedAt.Before(back) }))
		}
		t.Logf("%v: before %v; after %v", mode, before, after)
		return after.share() >= 0.99*before.share()
	}
	must.True(t, holds(admission.ModeRanked))
	must.False(t, holds(admission.ModePassive))
}
