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

// Note takes in a signal and returns the hold that it leads to; nil where it holds nothing back, or is of an earlier life.
func (b *Book) Note(now time.Time, signal Signal) *Hold {
	if signal.Pushback <= 0 && !signal.Leaving {
		return nil
	}
	b.tidy(now)
	u := &signal.Upstream
	h := b.holds[u.ID]
	switch {
	case h != nil && u.Incarnation != 0 && u.Incarnation < h.Incarnation:
		return nil
	case h == nil || !h.Binds(u):
		h = &Hold{Upstream: u.ID, Incarnation: u.Incarnation, URL: u.URL}
		b.holds[u.ID] = h
	}
	h.extend(now, signal)
	return h
}

// Of returns the hold that binds an upstream as it is listed; nil for none.
func (b *Book) Of(u *vaneyoke.Upstream) *Hold {
	if h := b.holds[u.ID]; h != nil && h.Binds(u) {
		return h
	}
	return nil
}

func (b *Book) tidy(now time.Time) {
	if now.Sub(b.tidied) < tidyEvery && len(b.holds) < mostHolds {
		return
	}
	b.tidied = now
	var first *Hold
	for id, h := range b.holds {
		if !h.At(now) {
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

func (h *Hold) ends() time.Time { return later(h.PushbackEnds, h.LeavingEnds) }
