package pushback

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	mostHolds = 1 << 14         // that are kept in memory; of more, the one that ends first is forgotten
	tidyEvery = 5 * time.Second // between two looks for holds that are over
)

// Book holds what upstreams have told a node, also those that are not listed for a while.
type Book struct {
	holds  map[vaneyoke.UpstreamID]*Hold
	tidied time.Time
}

// NewBook returns a book of a node that was told nothing.
func NewBook() *Book { return &Book{holds: map[vaneyoke.UpstreamID]*Hold{}} }

// Note takes in a signal and returns the hold that it leads to, and what it was before; nil where the signal holds nothing back or is of an
// earlier life.
func (b *Book) Note(now time.Time, signal Signal) (hold *Hold, before Hold) {
	if signal.Pushback <= 0 && !signal.Leaving {
		return nil, Hold{}
	}
	b.tidy(now)
	u := &signal.Upstream
	h := b.holds[u.ID]
	switch {
	case h != nil && u.Incarnation != 0 && u.Incarnation < h.Incarnation:
		return nil, Hold{}
	case h == nil || !h.binds(u):
		h = &Hold{Upstream: u.ID, Incarnation: u.Incarnation, URL: u.URL}
		b.holds[u.ID] = h
	}
	before = *h
	h.extend(now, signal)
	return h, before
}

// Of returns the hold that an upstream asked for in its last life that said something; nil for none.
func (b *Book) Of(id vaneyoke.UpstreamID) *Hold { return b.holds[id] }

func (b *Book) tidy(now time.Time) {
	if now.Sub(b.tidied) < tidyEvery && len(b.holds) < mostHolds {
		return
	}
	b.tidied = now
	var first *Hold
	for id, h := range b.holds {
		if !now.Before(h.ends()) {
			delete(b.holds, id)
			continue
		}
		if first == nil || h.ends().Before(first.ends()) {
			first = h
		}
	}
	if len(b.holds) >= mostHolds {
		delete(b.holds, first.Upstream)
	}
}
