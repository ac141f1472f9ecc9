package pacing

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	maxRejected  = 16384             // contents that are remembered
	rememberTime = 2 * maxRetryAfter // after a content may come back
)

// rejected remembers when the contents that this node rejected may come back. It drops the older half when the newer one has reached half of
// the bound.
type rejected struct {
	newer, older map[vaneyoke.ContentID]time.Time
}

func newRejected() rejected {
	return rejected{newer: map[vaneyoke.ContentID]time.Time{}, older: map[vaneyoke.ContentID]time.Time{}}
}

// due returns when a content may come back; ok is false if it is not known.
func (r *rejected) due(now time.Time, content vaneyoke.ContentID) (due time.Time, ok bool) {
	due, ok = r.newer[content]
	if !ok {
		due, ok = r.older[content]
	}
	lasts := due.Sub(now)
	return due, ok && lasts <= maxRetryAfter && lasts > -rememberTime // a longer wait comes from a jump of the clock
}

func (r *rejected) remember(content vaneyoke.ContentID, due time.Time) {
	if content == "" {
		return
	}
	if len(r.newer) >= maxRejected/2 {
		r.newer, r.older = map[vaneyoke.ContentID]time.Time{}, r.newer
	}
	r.newer[content] = due
}

func (r *rejected) forget(content vaneyoke.ContentID) {
	delete(r.newer, content)
	delete(r.older, content)
}
