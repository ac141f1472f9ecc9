package node

import (
	"expvar"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pushbacks"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// signalListener passes the signals of upstreams to the rate-limit and pushback components, and shutdowns to the other nodes.
type signalListener struct {
	limits    *ratelimits.Node
	pushbacks *pushbacks.Node
	malformed *malformedRecorder
	gossip    *mesh.Gossip // set before the node runs
}

// RecordSent records that a request is about to be sent to an upstream.
func (l *signalListener) RecordSent(upstream vaneyoke.Upstream, kind forward.Kind) {
	l.limits.RecordSent(upstream, kind)
	l.pushbacks.RecordSent(time.Now(), upstream.ID, kind)
}

// RecordSignals records the signals in an upstream's answer.
func (l *signalListener) RecordSignals(upstream vaneyoke.Upstream, signals forward.Signals, sentAt time.Time) {
	if signals.Limit != nil {
		l.limits.RecordLimit(upstream, *signals.Limit, sentAt)
	}
	now := time.Now()
	l.pushbacks.RecordSignals(now, upstream, signals)
	if signals.Leaving {
		l.gossip.ObserveLeaving(upstream.ID, upstream.Incarnation, l.pushbacks.SinceAnswered(now, upstream.ID))
		return
	}
	l.pushbacks.RecordAnswered(upstream.ID, sentAt)
}

// RecordMalformed records an answer to a query that violates HTTP.
func (l *signalListener) RecordMalformed(upstream vaneyoke.Upstream, err error) {
	l.malformed.record(upstream.ID, err)
}

func providePushbacks(i do.Injector) (*pushbacks.Node, error) {
	return pushbacks.New(do.MustInvoke[*balancer.Balancer](i), do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)), nil
}

func provideSignalListener(i do.Injector) (*signalListener, error) {
	return &signalListener{
		limits: do.MustInvoke[*ratelimits.Node](i), pushbacks: do.MustInvoke[*pushbacks.Node](i),
		malformed: newMalformedRecorder(do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)),
	}, nil
}

// fleetOf returns a node's part of a fleet; of one whose members do not include it, the last.
func fleetOf(self vaneyoke.VMID, members []feed.Member) placement.Fleet {
	fleet := placement.Fleet{Size: max(len(members), 1)}
	for _, m := range members {
		if m.VM < self {
			fleet.Rank++
		}
	}
	fleet.Rank = min(fleet.Rank, fleet.Size-1)
	return fleet
}
