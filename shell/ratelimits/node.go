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

// Messenger carries messages to other nodes; one that is lost on the way is not sent again.
type Messenger interface {
	// SendLimits sends a message to a node whose build takes it.
	SendLimits(to vaneyoke.VMID, m Message)
	// TakeOffIfGone takes a node off the members, unless it takes connections.
	TakeOffIfGone(vm vaneyoke.VMID)
}

// Store keeps which upstreams name limits.
type Store interface {
	// Write writes a row where its revision is the row's, 0 for no row; an error with CodeStoreRace says that it has another one, and
	// any other that it may have been written.
	Write(ctx context.Context, row ratelimit.Row) error
	// Remove removes a row of a revision.
	Remove(ctx context.Context, row ratelimit.Row) error
}

const (
	storeWait = 1500 * time.Millisecond // longest wait for the store
	mostCalls = 4                       // to the store at a time; what comes beyond is done later
)

// Message is what nodes say to one another of limits: one of its parts.
type Message struct {
	By       vaneyoke.VMID             `json:"by"`
	Notices  []ratelimit.Notice        `json:"notices,omitempty"`
	Question *ratelimit.PermitRequest  `json:"question,omitempty"`
	Answer   *ratelimit.PermitResponse `json:"answer,omitempty"`
}

// Permit is what became of a permit that was wanted.
type Permit struct {
	Granted bool
	Next    time.Duration // until there may be another, where it was not granted
	Turn    time.Duration // when a caller that gets none is to come back
}

// Node is this node's part in keeping the limits that upstreams name.
type Node struct {
	self      vaneyoke.VMID
	messenger Messenger
	store     Store
	calls     *background.Runner // to the store
	account   *Account
	metrics   *Metrics
	log       logrus.FieldLogger
	believe   func(upstream vaneyoke.UpstreamID, limit vaneyoke.Limit)

	mu      sync.Mutex
	state   *ratelimit.State
	timer   *time.Timer
	ended   bool
	last    ratelimit.PermitID
	waiting map[ratelimit.PermitID]chan Permit
}

// New returns the part of a node that knows of no limit; believe takes in which limits upstreams name, in their order, and must not call the node.
func New(
	self vaneyoke.VMID, dataCentre vaneyoke.DataCentreID, messenger Messenger, store Store, believe func(vaneyoke.UpstreamID, vaneyoke.Limit),
	metrics *Metrics, log logrus.FieldLogger,
) *Node {
	n := &Node{
		self: self, messenger: messenger, store: store, calls: background.New(mostCalls, storeWait), account: NewAccount(metrics, log), metrics: metrics, log: log, believe: believe,
		state:   ratelimit.New(self, dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting: map[ratelimit.PermitID]chan Permit{},
	}
	n.timer = time.AfterFunc(time.Hour, func() { n.handle(ratelimit.Tick{}) })
	n.timer.Stop()
	return n
}

// Close ends the node's part.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	n.timer.Stop()
}

// SetMembers takes in the nodes of the fleet.
func (n *Node) SetMembers(all []ratelimit.Member) { n.handle(ratelimit.MembersUpdated{All: all}) }

// SetNeighbours takes in the nodes next to this one in the tree.
func (n *Node) SetNeighbours(vms []vaneyoke.VMID) { n.handle(ratelimit.NeighboursUpdated{VMs: vms}) }

// SetUpstreams takes in the upstreams that are listed.
func (n *Node) SetUpstreams(all []vaneyoke.Upstream) { n.handle(ratelimit.UpstreamsUpdated{All: all}) }

// SetRows takes in the rows that the store holds.
func (n *Node) SetRows(rows []ratelimit.Row) { n.handle(ratelimit.RowsUpdated{Rows: rows}) }

// Sending takes in that something goes to an upstream.
func (n *Node) Sending(upstream vaneyoke.Upstream, kind forward.Kind) {
	n.account.Sending(steady.Now(), upstream.ID, kind)
}

// Answered takes in the limit that an upstream named in its answer to a request of this node.
func (n *Node) Answered(upstream vaneyoke.Upstream, limit vaneyoke.Limit, sentAt time.Time) {
	n.handle(ratelimit.LimitObserved{Upstream: upstream, Limit: limit, SentAt: sentAt})
}

// Take takes in what another node says.
func (n *Node) Take(m Message) {
	switch {
	case m.By == n.self || m.By == "":
	case m.Question != nil:
		n.handle(ratelimit.PermitRequested{From: m.By, Request: *m.Question})
	case m.Answer != nil:
		n.handle(ratelimit.PermitResponded{From: m.By, Response: *m.Answer})
	case len(m.Notices) > 0:
		n.handle(ratelimit.NoticesReceived{From: m.By, Notices: m.Notices})
	}
}

// Limited reports whether an upstream names a limit.
func (n *Node) Limited(upstream vaneyoke.UpstreamID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Limited(upstream)
}

// Permit looks for a permit to send something to an upstream; one that is granted must be used at once.
func (n *Node) Permit(ctx context.Context, upstream vaneyoke.UpstreamID) Permit {
	decided := make(chan Permit, 1)
	n.mu.Lock()
	n.last++
	id := n.last
	n.waiting[id] = decided
	n.mu.Unlock()
	n.handle(ratelimit.AcquirePermit{ID: id, Upstream: upstream})
	select {
	case p := <-decided:
		n.metrics.decided(p.Granted)
		return p
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.waiting, id)
		return Permit{}
	}
}

// handle gives an event to the state and carries out what it asks for. Beliefs are told under the lock: what is told last stands, and two
// answers may come at one moment.
func (n *Node) handle(ev ratelimit.Event) {
	var outside []ratelimit.Effect
	n.mu.Lock()
	now := steady.Now()
	for _, effect := range n.state.Handle(now, ev) {
		switch e := effect.(type) {
		case ratelimit.PermitDecided:
			n.decideLocked(e)
		case ratelimit.LimitUpdated:
			n.believeLocked(now, e)
		default:
			outside = append(outside, effect)
		}
	}
	if at := n.state.NextTick(); !at.IsZero() && !n.ended {
		n.timer.Reset(at.Sub(now))
	}
	n.mu.Unlock()
	for _, effect := range outside {
		n.carryOut(effect)
	}
}

func (n *Node) decideLocked(d ratelimit.PermitDecided) {
	if waiting := n.waiting[d.ID]; waiting != nil {
		delete(n.waiting, d.ID)
		waiting <- Permit{Granted: d.Granted, Next: d.AvailableIn, Turn: d.RetryAfter}
	}
}

func (n *Node) carryOut(effect ratelimit.Effect) {
	switch e := effect.(type) {
	case ratelimit.SendNotices:
		n.metrics.counts.Add("notices_told_total", int64(len(e.Notices)))
		n.messenger.SendLimits(e.To, Message{By: n.self, Notices: e.Notices})
	case ratelimit.SendPermitRequest:
		n.metrics.counts.Add("questions_total", 1)
		n.messenger.SendLimits(e.To, Message{By: n.self, Question: &e.Request})
	case ratelimit.SendPermitResponse:
		n.metrics.counts.Add("answers_total", 1)
		n.messenger.SendLimits(e.To, Message{By: n.self, Answer: &e.Response})
	case ratelimit.CheckLiveness:
		go n.messenger.TakeOffIfGone(e.VM)
	case ratelimit.WriteRow:
		n.record(e.Row, true, n.store.Write)
	case ratelimit.RemoveRow:
		n.record(e.Row, false, n.store.Remove)
	}
}

// record has the store hold a row, or not hold it any more; what became of it is seen when the rows come back.
func (n *Node) record(row ratelimit.Row, named bool, call func(context.Context, ratelimit.Row) error) {
	n.calls.Go(func(ctx context.Context) error { return call(ctx, row) }, func(err error) {
		n.metrics.counts.Add("recorded_total", 1)
		n.log.WithFields(logrus.Fields{"upstream": row.Upstream, "named": named, "rate": row.Rate, "error": err}).Info("limit_recorded")
	})
}

func (n *Node) believeLocked(now time.Time, e ratelimit.LimitUpdated) {
	n.account.Named(now, e.Notice.Upstream, e.Notice.Limit)
	n.believe(e.Notice.Upstream, e.Notice.Limit)
	n.log.WithFields(logrus.Fields{
		"upstream": e.Notice.Upstream, "incarnation": uint64(e.Notice.Incarnation), "named": e.Notice.Limit.Declared, "rate": e.Notice.Limit.Rate,
		"age_ms": e.Notice.AgeMs, "peer": e.From,
	}).Info("limit_named")
}
