package admissions

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// loggedWait is the shortest wait that is logged even if there was room at the first assessment.
const loggedWait = 200 * time.Millisecond

// Node holds the requests of a node until they may be sent.
type Node struct {
	metrics *Metrics
	log     logrus.FieldLogger

	mu      sync.Mutex
	state   *admission.State
	timer   *time.Timer
	closed  bool
	lastID  uint64
	pending map[vaneyoke.RequestID]*pending // by the id within the state
}

// pending is a request that waits in Acquire.
type pending struct {
	assess  chan struct{}         // asks for an assessment
	decided chan admission.Effect // receives Admit or Reject
	looks   int                   // assessments so far
}

// New returns a node whose services are passive.
func New(config admission.Config, callers *pacing.State, metrics *Metrics, log logrus.FieldLogger) *Node {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n := &Node{metrics: metrics, log: log, state: admission.New(config, callers, rng), pending: map[vaneyoke.RequestID]*pending{}}
	n.timer = time.AfterFunc(time.Hour, func() { n.handle(admission.Tick{}) })
	n.timer.Stop()
	metrics.publishQueues(n.Queues)
	return n
}

// Close stops the node's timer.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.timer.Stop()
}

// Acquire waits until a request may be sent; an error carries CodeOverloaded if it is rejected, and CodeCallerGone if ctx ends first. The times of
// the request are those of package steady. Assess tells whether there is room; it is called in the caller's goroutine.
func (n *Node) Acquire(ctx context.Context, r admission.Request, assess func(context.Context) admission.Room) error {
	p := &pending{assess: make(chan struct{}, 1), decided: make(chan admission.Effect, 1)}
	id := r.ID
	r.ID = n.register(p)
	n.handle(admission.Arrived{Request: r})
	for {
		select {
		case effect := <-p.decided:
			return n.conclude(r, id, p, effect)
		case <-ctx.Done():
			n.withdraw(r)
			return vaneyoke.WrapErr(vaneyoke.CodeCallerGone, ctx.Err(), "the request left the queue")
		case <-p.assess:
			p.looks++
			n.handle(admission.Assessed{ID: r.ID, Room: assess(ctx)})
		}
	}
}

// register returns an id for a request within the state; two requests of callers may have the same one.
func (n *Node) register(p *pending) vaneyoke.RequestID {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	id := vaneyoke.RequestID(strconv.FormatUint(n.lastID, 36))
	n.pending[id] = p
	return id
}

// withdraw removes a request whose caller does not wait any more; if it was admitted meanwhile, its room is free again.
func (n *Node) withdraw(r admission.Request) {
	n.mu.Lock()
	_, undecided := n.pending[r.ID]
	delete(n.pending, r.ID)
	n.mu.Unlock()
	if undecided {
		n.handle(admission.Left{ID: r.ID})
		return
	}
	n.handle(admission.RunEnded{Service: r.Service})
}

// conclude counts and logs a decision, and returns its error.
func (n *Node) conclude(r admission.Request, id vaneyoke.RequestID, p *pending, effect admission.Effect) error {
	switch e := effect.(type) {
	case admission.Admit:
		n.metrics.countAdmission(r.Route, e)
		if p.looks > 1 || e.Waited >= loggedWait {
			n.log.WithFields(logrus.Fields{
				"request": id, "ms": e.Waited.Milliseconds(), "looks": p.looks, "room": !e.Forced,
			}).Info("room_awaited")
		}
		return nil
	case admission.Reject:
		n.metrics.countRejection(r.Route, e)
		n.log.WithFields(logrus.Fields{
			"request": id, "service": r.Service, "route": r.Route, "workspace": r.Workspace, "urgency": int(r.Urgency), "reason": e.Reason,
			"waited_ms": e.Waited.Milliseconds(), "ahead_tokens": int(e.Ahead), "expected_ms": e.Expected.Milliseconds(),
			"deadline_ms": r.Deadline.Sub(steady.Now()).Milliseconds(), "retry_after_ms": e.RetryAfter.Milliseconds(),
		}).Info("request_rejected")
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeOverloaded, e.RetryAfter, "the request was rejected (%s)", e.Reason)
	default:
		return vaneyoke.Err(vaneyoke.CodeInternal, "unexpected decision %T", effect)
	}
}

// RunEnded records that an upstream of a service has ended a run of this node, whose prompt it had prefilled.
func (n *Node) RunEnded(service vaneyoke.ServiceID, prompt vaneyoke.Tokens) {
	n.handle(admission.RunEnded{Service: service, Prompt: prompt})
}

// SetMode sets how the requests of a service are queued.
func (n *Node) SetMode(service vaneyoke.ServiceID, mode admission.Mode) {
	n.handle(admission.ModeSet{Service: service, Mode: mode})
}

// SetCaps replaces the caps that operators have set.
func (n *Node) SetCaps(caps []admission.Cap) { n.handle(admission.CapsUpdated{Caps: caps}) }

// UpdateShares records the demand of the whole fleet; its time is that of package steady.
func (n *Node) UpdateShares(totals share.Totals) { n.handle(admission.SharesUpdated{Totals: totals}) }

// Active reports whether any service is ranked, so that the demand for it is of use.
func (n *Node) Active() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.HasRanked()
}

// Demands returns this node's demand since the last call; its time is that of package steady.
func (n *Node) Demands(now time.Time) []share.Demand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Demands(now)
}

// Queues returns what waits, and the caps in force.
func (n *Node) Queues() admission.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Queues(steady.Now())
}

// handle passes an event to the state and hands its effects to the requests that wait.
func (n *Node) handle(ev admission.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := steady.Now()
	for _, effect := range n.state.Handle(now, ev) {
		switch e := effect.(type) {
		case admission.Assess:
			n.requestAssessment(e.ID)
		case admission.Admit:
			n.decide(e.ID, e)
		case admission.Reject:
			n.decide(e.ID, e)
		}
	}
	if at := n.state.NextTick(); !at.IsZero() && !n.closed {
		n.timer.Reset(max(at.Sub(now), 0))
	}
}

func (n *Node) requestAssessment(id vaneyoke.RequestID) {
	if p := n.pending[id]; p != nil {
		select {
		case p.assess <- struct{}{}:
		default: // asked for already
		}
	}
}

func (n *Node) decide(id vaneyoke.RequestID, effect admission.Effect) {
	if p := n.pending[id]; p != nil {
		delete(n.pending, id)
		p.decided <- effect
	}
}
