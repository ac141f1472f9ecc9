package pushbacks

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const (
	tellEvery = time.Second            // the shortest time between two lines of what was sent to an upstream that is held back, or of headers that mean nothing
	nearEnd   = 500 * time.Millisecond // by which a pushback has to be prolonged to be told anew
)

// Node is this node's part in staying away from upstreams that told it so.
type Node struct {
	counts *expvar.Map
	log    logrus.FieldLogger

	mu           sync.Mutex
	book         *pushback.Book
	sent         map[vaneyoke.UpstreamID]*sent // to upstreams that are held back
	unreadableAt time.Time                     // when a header that means nothing was told last
}

// sent is what went to an upstream while it was held back.
type sent struct {
	since time.Time // of the counts
	kinds [forward.Kinds]int
}

// New returns the part of a node that was told nothing; its metrics are under "pushback" among vars.
func New(vars *expvar.Map, log logrus.FieldLogger) *Node {
	n := &Node{counts: new(expvar.Map).Init(), log: log, book: pushback.NewBook(), sent: map[vaneyoke.UpstreamID]*sent{}}
	vars.Set("pushback", n.counts)
	return n
}

// Sending takes in that something goes to an upstream.
func (n *Node) Sending(now time.Time, upstream vaneyoke.Upstream, kind forward.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sent[upstream.ID]
	if s == nil {
		return
	}
	if hold := n.book.Of(&upstream); hold == nil || !hold.At(now) {
		n.tellLocked(now, upstream.ID, s)
		delete(n.sent, upstream.ID)
		return
	}
	n.counts.Add(kind.String()+"_sent_total", 1)
	s.kinds[kind]++
	if now.Sub(s.since) >= tellEvery {
		n.tellLocked(now, upstream.ID, s)
	}
}

// Answered takes in what an upstream said of itself.
func (n *Node) Answered(now time.Time, upstream vaneyoke.Upstream, signals forward.Signals) {
	if signals.Unreadable != "" {
		n.tellUnreadable(now, upstream.ID, signals.Unreadable)
	}
	if signals.Pushback == 0 && !signals.Leaving {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var before pushback.Hold
	if hold := n.book.Of(&upstream); hold != nil {
		before = *hold
	}
	hold := n.book.Note(now, pushback.Signal{Upstream: upstream, Pushback: signals.Pushback, Leaving: signals.Leaving})
	if hold == nil {
		return
	}
	if n.sent[upstream.ID] == nil {
		n.sent[upstream.ID] = &sent{since: now}
	}
	fields := logrus.Fields{"upstream": upstream.ID, "incarnation": uint64(hold.Incarnation)}
	if signals.Pushback > 0 {
		n.counts.Add("asked_total", 1)
		if hold.PushbackEnds.Sub(later(now, before.PushbackEnds)) >= min(nearEnd, signals.Pushback) {
			n.log.WithFields(fields).WithFields(logrus.Fields{
				"asked_ms": signals.Pushback.Milliseconds(), "ms": hold.PushbackEnds.Sub(now).Milliseconds(),
			}).Info("upstream_pushed_back")
		}
	}
	if signals.Leaving && !before.IsLeaving(now) {
		n.counts.Add("leaving_total", 1)
		n.log.WithFields(fields).Info("upstream_leaves")
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// tellLocked logs what has gone to an upstream that is held back since the last line, unless that is nothing.
func (n *Node) tellLocked(now time.Time, upstream vaneyoke.UpstreamID, s *sent) {
	if s.kinds != [forward.Kinds]int{} {
		n.log.WithFields(logrus.Fields{
			"upstream": upstream, "ms": now.Sub(s.since).Milliseconds(),
			"first": s.kinds[forward.KindFirst], "repeats": s.kinds[forward.KindRepeat], "questions": s.kinds[forward.KindQuestion],
		}).Info("sent_while_held")
	}
	s.since, s.kinds = now, [forward.Kinds]int{}
}

func (n *Node) tellUnreadable(now time.Time, upstream vaneyoke.UpstreamID, header string) {
	n.counts.Add("unreadable_total", 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.unreadableAt) < tellEvery {
		return
	}
	n.unreadableAt = now
	n.log.WithFields(logrus.Fields{"upstream": upstream, "header": header}).Warn("signal_unreadable")
}
