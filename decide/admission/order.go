package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
)

const (
	agedShare = 3 // a request is aged after its caller's time divided by this
	agedEvery = 8 // one of this many admissions goes to an aged request that is late, if there is one
)

// compare orders two requests of a queue by who goes first.
func (q *queue) compare(now time.Time, a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		compareBool(a.isEarly(), b.isEarly()),
		compareBool(q.isLate(now, a), q.isLate(now, b)),
		compareBool(b.hasPrecedence(), a.hasPrecedence()),
		cmp.Compare(a.finish, b.finish),
		q.latestStart(a).Compare(q.latestStart(b)),
		a.arrivedAt.Compare(b.arrivedAt),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (e *entry) isEarly() bool { return e.Return == pacing.ReturnEarly }

// hasPrecedence reports whether a request goes first because its caller has waited as it was told; the callers of a workspace that is over its
// share could displace all others that way.
func (e *entry) hasPrecedence() bool { return e.Return == pacing.ReturnOnTime && !e.isOverShare() }

// latestStart returns until when a request must be sent to be in time.
func (q *queue) latestStart(e *entry) time.Time { return e.Goal.Add(-q.startOf(e)) }

// isLate reports whether a request cannot be in time any more.
func (q *queue) isLate(now time.Time, e *entry) bool { return now.After(q.latestStart(e)) }

// isAged reports whether a request has waited for a large part of its caller's time.
func (e *entry) isAged(now time.Time) bool {
	return now.Sub(e.Received) >= e.Deadline.Sub(e.Received)/agedShare
}

// first returns the request that is first in order; the queue must not be empty.
func (q *queue) first(now time.Time) *entry {
	return slices.MinFunc(q.entries, func(a, b *entry) int { return q.compare(now, a, b) })
}

// head returns the request that goes next; the queue must not be empty. Requests that are late wait behind those that are in time, but if they
// have waited long, a part of the admissions is theirs. The turn of such a request lasts until it is admitted, but while it finds no room it holds
// up nobody: the first in order is assessed right after it.
func (q *queue) head(now time.Time) *entry {
	first := q.first(now)
	if q.skipAged || q.inTime < agedEvery-1 || first.isEarly() || q.isLate(now, first) {
		return first
	}
	var aged *entry
	for _, e := range q.entries {
		if e.Urgency != first.Urgency || e.isEarly() || !e.isAged(now) || !q.isLate(now, e) {
			continue
		}
		if aged == nil || q.compare(now, e, aged) < 0 {
			aged = e
		}
	}
	if aged != nil {
		return aged
	}
	return first
}

// intervalOf returns the time until the head of a queue is assessed again.
func (q *queue) intervalOf(now time.Time) time.Duration {
	if interval := q.head(now).interval; interval > 0 {
		return interval
	}
	return maxInterval
}

// aheadOf returns the prompt tokens that are queued before a request.
func (q *queue) aheadOf(now time.Time, e *entry) vaneyoke.Tokens {
	var ahead vaneyoke.Tokens
	for _, other := range q.entries {
		if other != e && q.compare(now, other, e) < 0 {
			ahead += other.Prompt
		}
	}
	return ahead
}
