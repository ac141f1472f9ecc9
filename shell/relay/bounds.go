package relay

import (
	"cmp"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// Goals of a route that declares none.
const (
	defaultLatencyGoal   = 3 * time.Second
	defaultEventInterval = 2 * time.Second // callers wait at least this long for the next event
)

// When an attempt without output is queried, probed or abandoned, as multiples of the latency goal.
const (
	firstEventQueryFactor = 1.0 / 3 // a stream without its first event for this long has its upstream queried
	maxRunQueries         = 8       // queries for the state of the run: three latency goals in total
	callSuspectFactor     = 3.0     // a call without an answer for this long is suspect
	probeFactor           = 0.5     // an upstream without a first chunk for this long is probed
	maxProbeInterval      = 400 * time.Millisecond
	placementWaitFactor   = 0.2 // the request is refused if no upstream is found for this long
)

// When a stream is queried and abandoned between two events, as fractions of the event interval goal. To resume on
// another upstream within the goal, the relay must detect the silence, query the upstream and start the next attempt;
// each step may take at most a third.
const (
	silenceFactor      = 1.0 / 3
	queryTimeoutFactor = 1.0 / 3
	minSilenceFactor   = 1.0 / 6                // no query is sent before this silence
	minMeanGaps        = 1.5                    // silence of up to this many mean gaps of the stream is normal
	maxQueryTimeout    = 200 * time.Millisecond // longest wait for the answer to a query
)

// The time that an upstream is given, out of the caller's remaining time.
const (
	deadlineMargin      = 0.02 // fraction of the remaining time that the node reserves for itself
	maxDeadlineMargin   = 30 * time.Millisecond
	minForwardedTimeout = time.Millisecond
)

// Retries of attempts that reach no upstream.
const (
	maxLosses        = 64 // consecutive
	retryBaseBackoff = 10 * time.Millisecond
	retryMaxBackoff  = 100 * time.Millisecond
)

// upstreamTime returns the time that an upstream is given for a request whose caller waits for a remaining time.
func upstreamTime(remaining time.Duration) time.Duration {
	return max(remaining-min(scale(remaining, deadlineMargin), maxDeadlineMargin), minForwardedTimeout)
}

// applyTo adds the settings of the request's route and caller to the node's configuration.
func (f *Forwarding) applyTo(config *generation.Config, now time.Time) {
	config.Opaque = true
	config.ResumeAfter, _ = vaneyoke.ParseEventNumber(f.ResumeAfter)
	config.Deadline = f.Deadline
	config.MaxWait = f.Deadline.Sub(now)
	goal, eventInterval := cmp.Or(f.LatencyGoal, defaultLatencyGoal), cmp.Or(f.EventIntervalGoal, defaultEventInterval)
	config.MaxPlacementWait = scale(goal, placementWaitFactor)
	config.MaxAttempts = max(f.MaxAttempts, 1)
	config.MaxLosses = maxLosses
	config.Backoff = generation.Backoff{Base: retryBaseBackoff, Cap: retryMaxBackoff}
	config.Silence.Patience = 1
	config.ProbeEvery = min(scale(goal, probeFactor), maxProbeInterval)
	switch {
	case !config.Repeatable:
		config.ProbeEvery = 0
		config.Silence.FirstToken = config.MaxWait
		config.Silence.Floor = config.MaxWait
		config.Silence.Ceiling = config.MaxWait
	case f.Stream:
		config.MaxRunQueries = maxRunQueries
		config.KeepLastAttempt = true
		config.Silence.FirstToken = scale(goal, firstEventQueryFactor)
		config.EventIntervalGoal = eventInterval
		config.Silence.Floor = scale(eventInterval, minSilenceFactor)
		config.Silence.Ceiling = scale(eventInterval, silenceFactor)
		config.Silence.MinMeanGaps = minMeanGaps
	default:
		config.Silence.FirstToken = SuspectAfter(goal)
		config.Silence.Floor = config.Silence.FirstToken
	}
}

// SuspectAfter returns how long a repeatable call may go without an answer before another upstream is tried, 0 if its
// route has no latency goal.
func SuspectAfter(goal time.Duration) time.Duration { return scale(goal, callSuspectFactor) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
