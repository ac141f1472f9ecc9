package relay

import (
	"cmp"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// What a route that names no goal and no pause is taken to aim at.
const (
	unnamedGoal  = 3 * time.Second
	unnamedPause = 2 * time.Second // callers wait at least so long for the next event
)

// When an attempt that has given nothing is asked about, probed or given up, as shares of the goal.
const (
	firstGoals   = 1.0 / 3 // without a stream's first event after which its upstream is asked
	askSilent    = 8       // times that it is asked whether it works on the run: three goals in all
	callGoals    = 3.0     // without an answer to a call that makes an attempt suspect
	probeGoals   = 0.5     // without a first piece after which the upstream is probed
	longestProbe = 400 * time.Millisecond
	unsentGoals  = 0.2 // for which an upstream is looked for before the request is refused
)

// When a stream between two events is asked about and given up, as shares of the pause that is aimed at. A pause that is still in
// time has room for three things: to notice that a stream is silent, to ask its upstream, and to go on at another one. Each gets
// a third of it at the most.
const (
	noticePauses = 1.0 / 3
	askPauses    = 1.0 / 3
	floorPauses  = 1.0 / 6                // without an event before which an upstream is not asked
	usualGaps    = 1.5                    // mean gaps of a stream that are nothing unusual
	longestAsk   = 200 * time.Millisecond // longest wait for what an upstream says
)

// What is left of the caller's time for an upstream.
const (
	tellMargin   = 0.02 // share of the time left that the node keeps for itself
	shortestTold = time.Millisecond
)

// How attempts that reach nobody are repeated.
const (
	manyLosses = 64 // in a row
	retryPause = 10 * time.Millisecond
	retryCap   = 100 * time.Millisecond
)

// decide adds to the node's bounds what the request's route and caller ask for.
func (f *Forwarding) decide(config *generation.Config, now time.Time) {
	config.Opaque = true
	config.Deadline = f.Deadline
	config.MaxWait = f.Deadline.Sub(now)
	goal, pause := cmp.Or(f.Goal, unnamedGoal), cmp.Or(f.Pause, unnamedPause)
	config.MaxPlacementWait = share(goal, unsentGoals)
	config.MaxAttempts = max(f.MaxAttempts, 1)
	config.MaxLosses = manyLosses
	config.Backoff = generation.Backoff{Base: retryPause, Cap: retryCap}
	config.Silence.Patience = 1
	config.ProbeEvery = min(share(goal, probeGoals), longestProbe)
	switch {
	case !config.Repeatable:
		config.ProbeEvery = 0
		config.Silence.FirstToken = config.MaxWait
		config.Silence.Floor = config.MaxWait
		config.Silence.Ceiling = config.MaxWait
	case f.Stream:
		config.MaxRunQueries = askSilent
		config.KeepLastAttempt = true
		config.Silence.FirstToken = share(goal, firstGoals)
		config.EventIntervalGoal = pause
		config.Silence.Floor = share(pause, floorPauses)
		config.Silence.Ceiling = share(pause, noticePauses)
		config.Silence.MinMeanGaps = usualGaps
	default:
		config.Silence.FirstToken = Suspect(goal)
		config.Silence.Floor = config.Silence.FirstToken
	}
}

// Suspect returns how long a repeatable call may be without an answer before another upstream is tried, 0 where its route
// aims at no time.
func Suspect(goal time.Duration) time.Duration { return share(goal, callGoals) }

func share(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }
