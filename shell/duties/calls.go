package duties

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/usage"
	"github.com/vaneyoke/vaneyoke/internal/names"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// String names the reply as it stands in logs.
func (r Reply) String() string {
	return names.Of(r, "unsent", "taken", "refused", "declined", "none")
}

// keepLocked carries out what the keeping of counts asks for.
func (n *Node) keepLocked(effect usage.Effect) {
	switch e := effect.(type) {
	case usage.Load:
		go n.load()
	case usage.Commit:
		go n.commit(e)
	case usage.Written:
		n.stored[e.Origin] = usage.Watermark{Life: e.Life, Seq: e.Seq}
		close(n.written)
		n.written = make(chan struct{})
	case usage.SendReport:
		n.reportLocked(e)
	case usage.Missed:
		n.metrics.counts.Add("usage_missed_total", int64(e.Requests))
		n.log.WithFields(logrus.Fields{"window": int64(e.Window), "requests": e.Requests}).Warn("usage_missed")
	}
}

func (n *Node) load() {
	ctx, cancel := context.WithTimeout(context.Background(), storeWait)
	defer cancel()
	loaded, err := n.ledger.Load(ctx)
	if err != nil {
		n.log.WithField("error", err).Warn("usage_unread")
		n.keep(usage.Failed{})
		return
	}
	n.keep(loaded)
}

func (n *Node) commit(c usage.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), storeWait)
	defer cancel()
	n.metrics.counts.Add("usage_writes_total", 1)
	revision, err := n.ledger.Commit(ctx, c)
	if err != nil {
		n.log.WithFields(logrus.Fields{"windows": len(c.Put), "error": err}).Info("usage_unwritten")
		n.keep(usage.Failed{})
		return
	}
	n.keep(usage.Committed{Revision: revision})
}

func (n *Node) keep(event usage.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, effect := range n.book.Handle(steady.Now(), event) {
		n.keepLocked(effect)
	}
}

// reportLocked sends a window's report, as long as the lease is proven.
func (n *Node) reportLocked(e usage.SendReport) {
	fence, ok := n.duties[DutyUsage].ActiveToken(steady.Now())
	if !ok {
		go n.keep(usage.ReportSent{Window: e.Window})
		return
	}
	n.duties[DutyUsage].under++
	wall := n.clock.Wall(steady.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.config.Lease.CallTimeout)
		defer cancel()
		reply, err := n.platform.Report(ctx, fence, e.Window, e.Counts)
		n.metrics.counts.Add("usage_reports_total", 1)
		requests := 0
		for _, count := range e.Counts {
			requests += count
		}
		n.log.WithFields(logrus.Fields{
			"window": int64(e.Window), "workspaces": len(e.Counts), "requests": requests, "fence": uint64(fence),
			"age_ms": wall.Sub(e.Window.End(n.config.Usage.WindowLength)).Milliseconds(), "outcome": reply.String(), "error": err,
		}).Info("usage_reported")
		n.mu.Lock()
		n.called(steady.Now(), DutyUsage, fence, reply, reply == ReplyRefused)
		n.mu.Unlock()
		n.keep(usage.ReportSent{Window: e.Window, Accepted: reply == ReplyTaken})
	}()
}

// orderLocked sends an order, as long as the lease is proven.
func (n *Node) orderLocked(now time.Time, order capacity.Order) {
	fence, ok := n.duties[DutyCapacity].ActiveToken(now)
	if !ok {
		n.plan.Handle(now, capacity.OrderResult{Order: order, Outcome: capacity.OutcomeUnknown})
		return
	}
	n.duties[DutyCapacity].under++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.config.Lease.CallTimeout)
		defer cancel()
		reply, err := n.platform.Order(ctx, fence, order)
		n.metrics.counts.Add("orders_total", 1)
		n.log.WithFields(logrus.Fields{
			"service": order.Service, "data_centre": order.DataCentre, "preemptible": order.Preemptible, "count": order.Count, "before": order.Current,
			"need": order.Need, "reason": order.Reason, "fence": uint64(fence), "outcome": reply.String(), "error": err,
		}).Info("upstreams_ordered")
		n.mu.Lock()
		defer n.mu.Unlock()
		after := steady.Now()
		scarce := reply == ReplyRefused && order.Preemptible // a token that is too low shows at the next on-demand order
		n.called(after, DutyCapacity, fence, reply, reply == ReplyRefused && !scarce)
		n.plan.Handle(after, capacity.OrderResult{Order: order, Outcome: outcomeOf(reply, scarce)})
	}()
}

func outcomeOf(reply Reply, scarce bool) capacity.Outcome {
	switch {
	case scarce:
		return capacity.OutcomeNoCapacity
	case reply == ReplyTaken:
		return capacity.OutcomeAccepted
	default:
		return capacity.OutcomeUnknown
	}
}
