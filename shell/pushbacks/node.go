package pushbacks

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const (
	tellEvery  = time.Second            // the shortest time between two lines of what was sent to an upstream that is held back, or of headers that mean nothing
	nearEnd    = 500 * time.Millisecond // by which a pushback has to be prolonged to be told anew
	mostCounts = 1024                   // upstreams for which it is counted what was sent to them while they were held back
)

// Holds decides from which upstreams the node stays away.
type Holds interface {
	// Signalled takes in what an upstream said of itself, and returns the hold that it leads to and what it was before; ok is false where
	// nothing follows.
	Signalled(signal pushback.Signal) (hold, before pushback.Hold, ok bool)
	// IsHeld reports whether an upstream gets no new attempt because it said so.
	IsHeld(id vaneyoke.UpstreamID) bool
}

// Node is this node's part in staying away from upstreams that told it so.
type Node struct {
	holds  Holds
	counts *expvar.Map
	log    logrus.FieldLogger

	mu           sync.Mutex
	sent         map[vaneyoke.UpstreamID]*sent // to upstreams that were held back when it was looked last
	unreadableAt time.Time                     // when a header that means nothing was told last
}

// sent is what went to an upstream while it was held back.
type sent struct {
	since time.Time // of the counts
	kinds [forward.Kinds]int
}

// New returns the part of a node that was told nothing; its metrics are under "pushback" among vars.
func New(holds Holds, vars *expvar.Map, log logrus.FieldLogger) *Node {
	n := &Node{holds: holds, counts: new(expvar.Map).Init(), log: log, sent: map[vaneyoke.UpstreamID]*sent{}}
	vars.Set("pushback", n.counts)
	return n
}

// Sending takes in that something goes to an upstream.
func (n *Node) RecordSent(now time.Time, upstream vaneyoke.UpstreamID, kind forward.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sent[upstream]
	if s == nil {
		return
	}
	if !n.holds.IsHeld(upstream) {
		n.tellLocked(now, upstream, s)
		delete(n.sent, upstream)
		return
	}
	n.counts.Add(kind.String()+"_sent_total", 1)
	s.kinds[kind]++
	if now.Sub(s.since) >= tellEvery {
		n.tellLocked(now, upstream, s)
	}
}

// Answered takes in what an upstream said of itself.
func (n *Node) RecordSignals(now time.Time, upstream vaneyoke.Upstream, signals forward.Signals) {
	if signals.Unreadable != "" {
		n.tellUnreadable(now, upstream.ID, signals.Unreadable)
	}
	if signals.Pushback == 0 && !signals.Leaving {
		return
	}
	hold, before, ok := n.holds.Signalled(pushback.Signal{Upstream: upstream, Pushback: signals.Pushback, Leaving: signals.Leaving})
	if !ok {
		return
	}
	n.follow(now, upstream.ID)
	fields := logrus.Fields{"upstream": upstream.ID, "incarnation": uint64(hold.Incarnation)}
	if signals.Pushback > 0 {
		n.counts.Add("asked_total", 1)
	}
	if hold.PushbackEnds.Sub(later(now, before.PushbackEnds)) >= min(nearEnd, signals.Pushback) && signals.Pushback > 0 {
		n.log.WithFields(fields).WithFields(logrus.Fields{
			"asked_ms": signals.Pushback.Milliseconds(), "ms": hold.PushbackEnds.Sub(now).Milliseconds(),
		}).Info("upstream_pushed_back")
	}
	if signals.Leaving && before.LeavingEnds.IsZero() {
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

// follow counts from now on what is sent to an upstream that is held back; those that are not held back any more make room for it.
func (n *Node) follow(now time.Time, upstream vaneyoke.UpstreamID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent[upstream] != nil {
		return
	}
	if len(n.sent) >= mostCounts {
		maps.DeleteFunc(n.sent, func(id vaneyoke.UpstreamID, _ *sent) bool { return !n.holds.IsHeld(id) })
	}
	if len(n.sent) < mostCounts {
		n.sent[upstream] = &sent{since: now}
	}
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
