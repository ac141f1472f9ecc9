package admission

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	estimateMargin = 1.5             // a request is hopeless if its expected time exceeds its caller's by this factor
	drainWindow    = time.Second     // time with a backlog over which the drain rate is measured
	drainWeight    = 0.3             // of the last window in the smoothed rate
	drainTTL       = 3 * time.Second // time without an admission after which the drain rate is unknown
	prefillWeight  = 0.2             // of the last assessment in the smoothed prefill time
)

// drainMeter measures the prompt tokens a second that a service takes while requests wait.
type drainMeter struct {
	smoothed   float64 // 0 if unknown
	tokens     vaneyoke.Tokens
	backlogged time.Duration // in the current window
	idle       time.Duration // with a backlog since the last admission
	at         time.Time
}

// advance counts the time since the last event, if there was a backlog.
func (d *drainMeter) advance(now time.Time, backlog bool) {
	if elapsed := now.Sub(d.at); backlog && elapsed > 0 && !d.at.IsZero() {
		d.backlogged += elapsed
		d.idle += elapsed
	}
	d.at = now
	if d.idle >= drainTTL { // nothing is known of an outage's end
		d.tokens, d.backlogged = 0, 0
	}
	if d.backlogged < drainWindow || d.tokens == 0 {
		return
	}
	rate := float64(d.tokens) / d.backlogged.Seconds()
	if d.smoothed > 0 {
		rate = drainWeight*rate + (1-drainWeight)*d.smoothed
	}
	d.smoothed, d.tokens, d.backlogged = rate, 0, 0
}

// admitted counts an admission.
func (d *drainMeter) admitted(prompt vaneyoke.Tokens) {
	d.tokens += max(prompt, 1)
	d.idle = 0
}

// rate returns the prompt tokens a second that the service takes; 0 if unknown.
func (d *drainMeter) rate() float64 {
	if d.idle >= drainTTL {
		return 0
	}
	return d.smoothed
}

// wait returns how long a number of tokens takes to drain; 0 if unknown.
func (d *drainMeter) wait(tokens vaneyoke.Tokens) time.Duration {
	rate := d.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(tokens)/rate, time.Hour.Seconds()) * float64(time.Second))
}

// notePrefill records the expected time to the first token of an assessed request.
func (q *queue) notePrefill(e *entry) {
	if e.room.Start <= 0 {
		return
	}
	perToken := e.room.Start.Seconds() / float64(max(e.Prompt, 1))
	if q.prefill > 0 {
		perToken = prefillWeight*perToken + (1-prefillWeight)*q.prefill
	}
	q.prefill = perToken
}

// startOf returns the expected time to a request's first token once it is sent; 0 if unknown.
func (q *queue) startOf(e *entry) time.Duration {
	if e.room.Start > 0 {
		return e.room.Start
	}
	return time.Duration(q.prefill * float64(e.Prompt) * float64(time.Second))
}

// expectedStart returns the expected time until a request's first token.
func (q *queue) expectedStart(e *entry, ahead vaneyoke.Tokens) time.Duration {
	return q.drain.wait(ahead) + q.startOf(e)
}

// cannotFinish reports whether a request that is sent now is expected to end long after its caller's deadline.
func (e *entry) cannotFinish(now time.Time) bool {
	return exceeds(e.room.Start+e.room.Run, e.Deadline.Sub(now))
}

func exceeds(expected, available time.Duration) bool {
	return float64(expected) > estimateMargin*float64(available)
}

// hopelessReason returns why a request with so many tokens before it cannot be served in its caller's time; 0 if it may be. An estimate of the
// wait counts only while there is no room.
func (q *queue) hopelessReason(now time.Time, e *entry, ahead vaneyoke.Tokens) Reason {
	switch {
	case !now.Before(e.Deadline):
		return ReasonHopeless
	case !q.blocked:
		return 0
	case e.cannotFinish(now):
		return ReasonHopeless
	case !exceeds(q.expectedStart(e, ahead)+e.room.Run, e.Deadline.Sub(now)):
		return 0
	case e.isEarly():
		return ReasonEarly
	case e.isOverShare():
		return ReasonShare
	default:
		return ReasonHopeless
	}
}

// rejectHopeless rejects the requests of a queue that cannot be served in their callers' time, and those whose time is over before the next
// assessment.
func (s *State) rejectHopeless(now time.Time, q *queue) {
	order := slices.SortedFunc(slices.Values(q.entries), func(a, b *entry) int { return q.compare(now, a, b) })
	var ahead vaneyoke.Tokens
	for _, e := range order {
		reason := q.hopelessReason(now, e, ahead)
		if reason == 0 && q.blocked && e.Deadline.Sub(now) <= e.interval {
			reason = ReasonHopeless
		}
		if reason != 0 {
			s.reject(now, e, reason)
			continue
		}
		ahead += e.Prompt
	}
}
