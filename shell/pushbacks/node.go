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
	logInterval        = time.Second            // minimum time between two log lines on the requests sent to an upstream that is held back, or on invalid headers
	minLoggedExtension = 500 * time.Millisecond // a pushback that is extended by less is not logged again
	maxCounted         = 1024                   // upstreams that were held back and for which sent requests are counted
	maxAnswered        = 1 << 14                // upstreams of which it is known when they last answered
	answeredTTL        = time.Minute            // for which that is known
)

// Holds decides which upstreams get no new attempts.
type Holds interface {
	// RecordSignal applies a signal of an upstream and returns the resulting hold and its previous value; ok is false if the signal has no effect.
	RecordSignal(signal pushback.Signal) (hold, before pushback.Hold, ok bool)
	// IsHeld reports whether an upstream gets no new attempts because of a pushback or its shutdown.
	IsHeld(id vaneyoke.UpstreamID) bool
	// RecordBrittle records how many rejections in a second an upstream says that it bears, 0 if it does not say, and reports whether that changes
	// whether the upstreams of its service count as brittle.
	RecordBrittle(id vaneyoke.UpstreamID, maxRejections int) (service vaneyoke.ServiceID, changed bool)
}

// Node records the signals that upstreams send to this node.
type Node struct {
	holds  Holds
	counts *expvar.Map
	log    logrus.FieldLogger

	mu                 sync.Mutex
	sent               map[vaneyoke.UpstreamID]*sendCounts // to upstreams that were held back when last checked
	answered           map[vaneyoke.UpstreamID]time.Time   // when the last request was sent that was answered without a shutdown notice
	unreadableLoggedAt time.Time                           // when an invalid header was last logged
}

// sendCounts counts what was sent to an upstream while it was held back.
type sendCounts struct {
	since  time.Time // start of the counts
	byKind [forward.NumKinds]int
}

// New returns a node that has received no signals; its metrics are published under "pushback" in vars.
func New(holds Holds, vars *expvar.Map, log logrus.FieldLogger) *Node {
	n := &Node{holds: holds, counts: new(expvar.Map).Init(), log: log, sent: map[vaneyoke.UpstreamID]*sendCounts{}, answered: map[vaneyoke.UpstreamID]time.Time{}}
	vars.Set("pushback", n.counts)
	return n
}

// RecordSent counts a request that is sent to an upstream, if the upstream is held back.
func (n *Node) RecordSent(now time.Time, upstream vaneyoke.UpstreamID, kind forward.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sent[upstream]
	if s == nil {
		return
	}
	if !n.holds.IsHeld(upstream) {
		n.logSentLocked(now, upstream, s)
		delete(n.sent, upstream)
		return
	}
	n.counts.Add(kind.String()+"_sent_total", 1)
	s.byKind[kind]++
	if now.Sub(s.since) >= logInterval {
		n.logSentLocked(now, upstream, s)
	}
}

// RecordSignals applies the signals in a response of an upstream.
func (n *Node) RecordSignals(now time.Time, upstream vaneyoke.Upstream, signals forward.Signals) {
	if signals.InvalidHeader != "" {
		n.logUnreadable(now, upstream.ID, signals.InvalidHeader)
	}
	if signals.Brittle.Known {
		n.recordBrittle(upstream.ID, signals.Brittle.MaxRejections)
	}
	if signals.Pushback == 0 && !signals.Leaving {
		return
	}
	n.record(now, pushback.Signal{Upstream: upstream, Pushback: signals.Pushback, Leaving: signals.Leaving})
}

// recordBrittle applies what an upstream says of the rejections that it bears.
func (n *Node) recordBrittle(upstream vaneyoke.UpstreamID, maxRejections int) {
	if maxRejections > 0 {
		n.counts.Add("brittle_total", 1)
	}
	if service, changed := n.holds.RecordBrittle(upstream, maxRejections); changed {
		n.log.WithFields(logrus.Fields{"upstream": upstream, "service": service, "rejections": maxRejections, "brittle": maxRejections > 0}).Info("service_brittle")
	}
}

// RecordAnswered records that an upstream answered a request, sent at sentAt, without a shutdown notice.
func (n *Node) RecordAnswered(upstream vaneyoke.UpstreamID, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.answered[upstream]; !known && len(n.answered) >= maxAnswered {
		maps.DeleteFunc(n.answered, func(_ vaneyoke.UpstreamID, at time.Time) bool { return sentAt.Sub(at) >= answeredTTL })
		if len(n.answered) >= maxAnswered {
			return
		}
	}
	n.answered[upstream] = later(n.answered[upstream], sentAt)
}

// SinceAnswered returns the time since the last request that an upstream answered without a shutdown notice, answeredTTL at most. An upstream that
// sends a notice now has been shutting down for no longer, or for an unknown time if this is answeredTTL.
func (n *Node) SinceAnswered(now time.Time, upstream vaneyoke.UpstreamID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, known := n.answered[upstream]
	if !known {
		return answeredTTL
	}
	return min(max(now.Sub(at), 1), answeredTTL)
}

// RecordReported applies the shutdown notice of an incarnation of an upstream, 0 if unknown, that another node got. The upstream may have been
// shutting down for since, 0 if unknown.
func (n *Node) RecordReported(now time.Time, listed vaneyoke.Upstream, incarnation vaneyoke.Incarnation, reporter vaneyoke.VMID, since time.Duration) {
	since = min(since, n.SinceAnswered(now, listed.ID))
	if signal, ok := pushback.Reported(listed, incarnation, reporter, since); ok {
		n.record(now, signal)
	}
}

func (n *Node) record(now time.Time, signal pushback.Signal) {
	upstream := signal.Upstream
	hold, before, ok := n.holds.RecordSignal(signal)
	if !ok {
		return
	}
	n.startCounting(now, upstream.ID)
	fields := logrus.Fields{"upstream": upstream.ID, "incarnation": uint64(upstream.Incarnation)}
	if signal.Pushback > 0 {
		n.counts.Add("asked_total", 1)
	}
	if hold.PushbackEnds.Sub(later(now, before.PushbackEnds)) >= min(minLoggedExtension, signal.Pushback) && signal.Pushback > 0 {
		n.log.WithFields(fields).WithFields(logrus.Fields{
			"asked_ms": signal.Pushback.Milliseconds(), "ms": hold.PushbackEnds.Sub(now).Milliseconds(),
		}).Info("upstream_pushed_back")
	}
	if signal.Leaving && hold.HasAnnouncedLeaving(now, &upstream) && !before.HasAnnouncedLeaving(now, &upstream) {
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

// startCounting starts counting what is sent to an upstream that is held back. If the limit is reached, it drops upstreams that are no longer held
// back.
func (n *Node) startCounting(now time.Time, upstream vaneyoke.UpstreamID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent[upstream] != nil {
		return
	}
	if len(n.sent) >= maxCounted {
		maps.DeleteFunc(n.sent, func(id vaneyoke.UpstreamID, _ *sendCounts) bool { return !n.holds.IsHeld(id) })
	}
	if len(n.sent) < maxCounted {
		n.sent[upstream] = &sendCounts{since: now}
	}
}

// logSentLocked logs what was sent to an upstream while it was held back, since the previous line, if anything.
func (n *Node) logSentLocked(now time.Time, upstream vaneyoke.UpstreamID, s *sendCounts) {
	if s.byKind != [forward.NumKinds]int{} {
		n.log.WithFields(logrus.Fields{
			"upstream": upstream, "ms": now.Sub(s.since).Milliseconds(),
			"first": s.byKind[forward.KindFirst], "repeats": s.byKind[forward.KindRepeat], "questions": s.byKind[forward.KindQuery],
		}).Info("sent_while_held")
	}
	s.since, s.byKind = now, [forward.NumKinds]int{}
}

func (n *Node) logUnreadable(now time.Time, upstream vaneyoke.UpstreamID, header string) {
	n.counts.Add("unreadable_total", 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.unreadableLoggedAt) < logInterval {
		return
	}
	n.unreadableLoggedAt = now
	n.log.WithFields(logrus.Fields{"upstream": upstream, "header": header}).Warn("signal_unreadable")
}
