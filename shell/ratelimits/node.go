package ratelimits

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
	"github.com/vaneyoke/vaneyoke/internal/background"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Messenger sends messages to other nodes; lost messages are not retransmitted.
type Messenger interface {
	// SendLimits sends a message to a node whose build supports it.
	SendLimits(to vaneyoke.VMID, m Message)
	// RemoveIfUnreachable removes a node from the members, unless it accepts connections.
	RemoveIfUnreachable(vm vaneyoke.VMID)
}

// Store stores which upstreams declare limits.
type Store interface {
	// Write writes a row if the stored row has its revision, 0 for no row. An error with CodeStoreRace means that the revisions differ; after any
	// other error, the row may have been written.
	Write(ctx context.Context, row ratelimit.Row) error
	// Remove removes a row if it has the given revision.
	Remove(ctx context.Context, row ratelimit.Row) error
}

const (
	storeTimeout  = 1500 * time.Millisecond // of a call to the store
	maxStoreCalls = 4                       // concurrent calls to the store; calls beyond that are made later
)

// Message is a message between nodes about rate limits: notices, a request or a response.
type Message struct {
	From     vaneyoke.VMID             `json:"by"`
	Notices  []ratelimit.Notice        `json:"notices,omitempty"`
	Request  *ratelimit.PermitRequest  `json:"question,omitempty"`
	Response *ratelimit.PermitResponse `json:"answer,omitempty"`
}

// Permit is the outcome of acquiring a permit.
type Permit struct {
	Granted     bool
	AvailableIn time.Duration // if not granted: time until there may be another
	RetryAfter  time.Duration // if not granted: time after which the caller should retry
}

// Node enforces, together with the other nodes, the rate limits that upstreams declare.
type Node struct {
	self      vaneyoke.VMID
	messenger Messenger
	store     Store
	calls     *background.Runner // to the store
	usage     *UsageTracker
	metrics   *Metrics
	log       logrus.FieldLogger
	setLimit  func(upstream vaneyoke.UpstreamID, limit vaneyoke.Limit)

	mu      sync.Mutex
	state   *ratelimit.State
	timer   *time.Timer
	closed  bool
	lastID  ratelimit.PermitID
	waiting map[ratelimit.PermitID]chan Permit
}

// New returns a node that knows of no limits. It calls setLimit for every change of an upstream's limit, in order,
// and under the node's lock, so setLimit must not call the node.
func New(
	self vaneyoke.VMID, dataCentre vaneyoke.DataCentreID, messenger Messenger, store Store, setLimit func(vaneyoke.UpstreamID, vaneyoke.Limit),
	metrics *Metrics, log logrus.FieldLogger,
) *Node {
	n := &Node{
		self: self, messenger: messenger, store: store, calls: background.New(maxStoreCalls, storeTimeout), usage: NewUsageTracker(metrics, log), metrics: metrics, log: log, setLimit: setLimit,
		state:   ratelimit.New(self, dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting: map[ratelimit.PermitID]chan Permit{},
	}
	n.timer = time.AfterFunc(time.Hour, func() { n.handle(ratelimit.Tick{}) })
	n.timer.Stop()
	return n
}

// Close stops the node's timer.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.timer.Stop()
}

// SetMembers updates the nodes of the fleet.
func (n *Node) SetMembers(all []ratelimit.Member) { n.handle(ratelimit.MembersUpdated{All: all}) }

// SetNeighbours updates the neighbours of this node in the tree.
func (n *Node) SetNeighbours(vms []vaneyoke.VMID) { n.handle(ratelimit.NeighboursUpdated{VMs: vms}) }

// SetUpstreams updates the listed upstreams.
func (n *Node) SetUpstreams(all []vaneyoke.Upstream) { n.handle(ratelimit.UpstreamsUpdated{All: all}) }

// SetRows updates the store's rows.
func (n *Node) SetRows(rows []ratelimit.Row) { n.handle(ratelimit.RowsUpdated{Rows: rows}) }

// RecordSent counts a request that is sent to an upstream.
func (n *Node) RecordSent(upstream vaneyoke.Upstream, kind forward.Kind) {
	n.usage.RecordSent(steady.Now(), upstream.ID, kind)
}

// RecordLimit records the limit that an upstream declared in its response to a request of this node.
func (n *Node) RecordLimit(upstream vaneyoke.Upstream, limit vaneyoke.Limit, sentAt time.Time) {
	n.handle(ratelimit.LimitObserved{Upstream: upstream, Limit: limit, SentAt: sentAt})
}

// HandleMessage handles a message from another node.
func (n *Node) HandleMessage(m Message) {
	switch {
	case m.From == n.self || m.From == "":
	case m.Request != nil:
		n.handle(ratelimit.PermitRequested{From: m.From, Request: *m.Request})
	case m.Response != nil:
		n.handle(ratelimit.PermitResponded{From: m.From, Response: *m.Response})
	case len(m.Notices) > 0:
		n.handle(ratelimit.NoticesReceived{From: m.From, Notices: m.Notices})
	}
}

// Limited reports whether an upstream declares a limit.
func (n *Node) Limited(upstream vaneyoke.UpstreamID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Limited(upstream)
}

// AcquirePermit acquires a permit to send a request to an upstream; a granted permit must be used at once.
func (n *Node) AcquirePermit(ctx context.Context, upstream vaneyoke.UpstreamID) Permit {
	decided := make(chan Permit, 1)
	n.mu.Lock()
	n.lastID++
	id := n.lastID
	n.waiting[id] = decided
	n.mu.Unlock()
	n.handle(ratelimit.AcquirePermit{ID: id, Upstream: upstream})
	select {
	case p := <-decided:
		n.metrics.countDecision(p.Granted)
		return p
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.waiting, id)
		return Permit{}
	}
}

// handle passes an event to the state and applies the effects.
func (n *Node) handle(ev ratelimit.Event) {
	for _, effect := range n.update(ev) {
		n.apply(effect)
	}
}

// update passes an event to the state and returns the effects that need no lock. Updates of limits are delivered under the lock: two responses may arrive
// at the same time, and the last update delivered must be the current limit.
func (n *Node) update(ev ratelimit.Event) (unlocked []ratelimit.Effect) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := steady.Now()
	for _, effect := range n.state.Handle(now, ev) {
		switch e := effect.(type) {
		case ratelimit.PermitDecided:
			n.deliverDecisionLocked(e)
		case ratelimit.LimitUpdated:
			n.updateLimitLocked(now, e)
		default:
			unlocked = append(unlocked, effect)
		}
	}
	if at := n.state.NextTick(); !at.IsZero() && !n.closed {
		n.timer.Reset(at.Sub(now))
	}
	return unlocked
}

func (n *Node) deliverDecisionLocked(d ratelimit.PermitDecided) {
	if waiting := n.waiting[d.ID]; waiting != nil {
		delete(n.waiting, d.ID)
		waiting <- Permit{Granted: d.Granted, AvailableIn: d.AvailableIn, RetryAfter: d.RetryAfter}
	}
}

func (n *Node) apply(effect ratelimit.Effect) {
	switch e := effect.(type) {
	case ratelimit.SendNotices:
		n.metrics.counts.Add("notices_told_total", int64(len(e.Notices)))
		n.messenger.SendLimits(e.To, Message{From: n.self, Notices: e.Notices})
	case ratelimit.SendPermitRequest:
		n.metrics.counts.Add("questions_total", 1)
		n.messenger.SendLimits(e.To, Message{From: n.self, Request: &e.Request})
	case ratelimit.SendPermitResponse:
		n.metrics.counts.Add("answers_total", 1)
		n.messenger.SendLimits(e.To, Message{From: n.self, Response: &e.Response})
	case ratelimit.CheckLiveness:
		go n.messenger.RemoveIfUnreachable(e.VM)
	case ratelimit.WriteRow:
		n.updateStore(e.Row, true, n.store.Write)
	case ratelimit.RemoveRow:
		n.updateStore(e.Row, false, n.store.Remove)
	}
}

// updateStore writes or removes a row by the given call. The result is known when the updated rows come back.
func (n *Node) updateStore(row ratelimit.Row, declared bool, call func(context.Context, ratelimit.Row) error) {
	n.calls.Go(func(ctx context.Context) error { return call(ctx, row) }, func(err error) {
		n.metrics.counts.Add("recorded_total", 1)
		n.log.WithFields(logrus.Fields{"upstream": row.Upstream, "named": declared, "rate": row.Rate, "error": err}).Info("limit_recorded")
	})
}

func (n *Node) updateLimitLocked(now time.Time, e ratelimit.LimitUpdated) {
	n.usage.SetLimit(now, e.Notice.Upstream, e.Notice.Limit)
	n.setLimit(e.Notice.Upstream, e.Notice.Limit)
	n.log.WithFields(logrus.Fields{
		"upstream": e.Notice.Upstream, "incarnation": uint64(e.Notice.Incarnation), "named": e.Notice.Limit.Declared, "rate": e.Notice.Limit.Rate,
		"age_ms": e.Notice.AgeMs, "peer": e.From,
	}).Info("limit_named")
}
