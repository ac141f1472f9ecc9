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

// String returns the reply's name in logs.
func (r Reply) String() string {
	return names.Of(r, "unsent", "taken", "refused", "declined", "none")
}

// applyUsageLocked carries out an effect of the usage state.
func (n *Node) applyUsageLocked(effect usage.Effect) {
	switch e := effect.(type) {
	case usage.Load:
		go n.loadUsage()
	case usage.Commit:
		go n.commitUsage(e)
	case usage.Written:
		n.stored[e.Origin] = usage.Watermark{Life: e.Life, Seq: e.Seq}
		close(n.batchStored)
		n.batchStored = make(chan struct{})
	case usage.SendReport:
		n.sendReportLocked(e)
	case usage.Missed:
		n.metrics.counts.Add("usage_missed_total", int64(e.Requests))
		n.log.WithFields(logrus.Fields{"window": int64(e.Window), "requests": e.Requests}).Warn("usage_missed")
	}
}

func (n *Node) loadUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	loaded, err := n.ledger.Load(ctx)
	if err != nil {
		n.log.WithField("error", err).Warn("usage_unread")
		n.handleUsage(usage.Failed{})
		return
	}
	n.handleUsage(loaded)
}

func (n *Node) commitUsage(c usage.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	n.metrics.counts.Add("usage_writes_total", 1)
	revision, err := n.ledger.Commit(ctx, c)
	if err != nil {
		n.log.WithFields(logrus.Fields{"windows": len(c.Put), "error": err}).Info("usage_unwritten")
		n.handleUsage(usage.Failed{})
		return
	}
	n.handleUsage(usage.Committed{Revision: revision})
}

func (n *Node) handleUsage(event usage.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, effect := range n.reporter.Handle(steady.Now(), event) {
		n.applyUsageLocked(effect)
	}
}

// sendReportLocked sends a window's report if the node's lease is valid.
func (n *Node) sendReportLocked(e usage.SendReport) {
	token, ok := n.duties[DutyUsage].ActiveToken(steady.Now())
	if !ok {
		go n.handleUsage(usage.ReportSent{Window: e.Window})
		return
	}
	n.duties[DutyUsage].inFlight++
	wall := n.clock.Wall(steady.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.config.Lease.CallTimeout)
		defer cancel()
		reply, err := n.platform.Report(ctx, token, e.Window, e.Counts)
		n.metrics.counts.Add("usage_reports_total", 1)
		requests := 0
		for _, count := range e.Counts {
			requests += count
		}
		n.log.WithFields(logrus.Fields{
			"window": int64(e.Window), "workspaces": len(e.Counts), "requests": requests, "fence": uint64(token),
			"age_ms": wall.Sub(e.Window.End(n.config.Usage.WindowLength)).Milliseconds(), "outcome": reply.String(), "error": err,
		}).Info("usage_reported")
		n.mu.Lock()
		n.callEndedLocked(steady.Now(), DutyUsage, token, reply, reply == ReplyRefused)
		n.mu.Unlock()
		n.handleUsage(usage.ReportSent{Window: e.Window, Accepted: reply == ReplyAccepted})
	}()
}

// sendOrderLocked sends an order if the node's lease is valid.
func (n *Node) sendOrderLocked(now time.Time, order capacity.Order) {
	token, ok := n.duties[DutyCapacity].ActiveToken(now)
	if !ok {
		n.planner.Handle(now, capacity.OrderResult{Order: order, Outcome: capacity.OutcomeUnknown})
		return
	}
	n.duties[DutyCapacity].inFlight++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.config.Lease.CallTimeout)
		defer cancel()
		reply, err := n.platform.Order(ctx, token, order)
		n.metrics.counts.Add("orders_total", 1)
		n.log.WithFields(logrus.Fields{
			"service": order.Service, "data_centre": order.DataCentre, "preemptible": order.Preemptible, "count": order.Count, "before": order.Current,
			"need": order.Need, "reason": order.Reason, "fence": uint64(token), "outcome": reply.String(), "error": err,
		}).Info("upstreams_ordered")
		n.mu.Lock()
		defer n.mu.Unlock()
		answeredAt := steady.Now()
		noCapacity := reply == ReplyRefused && order.Preemptible // if the token was too low instead, the next on-demand order is refused as well
		n.callEndedLocked(answeredAt, DutyCapacity, token, reply, reply == ReplyRefused && !noCapacity)
		n.planner.Handle(answeredAt, capacity.OrderResult{Order: order, Outcome: outcomeOf(reply, noCapacity)})
	}()
}

func outcomeOf(reply Reply, noCapacity bool) capacity.Outcome {
	switch {
	case noCapacity:
		return capacity.OutcomeNoCapacity
	case reply == ReplyAccepted:
		return capacity.OutcomeAccepted
	default:
		return capacity.OutcomeUnknown
	}
}
