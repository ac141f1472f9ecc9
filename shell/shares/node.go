package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Messenger sends messages to neighbours; lost messages are not retransmitted.
type Messenger interface {
	// SendShares sends an encoded summary to a neighbour whose build supports it, and reports whether it was sent.
	SendShares(to vaneyoke.VMID, data []byte) bool
}

// DemandSource counts the demand at this node, and uses the totals of the fleet.
type DemandSource interface {
	// Active reports whether demand is counted. While it is not, the node only forwards what it gets.
	Active() bool
	// Demands returns the demand of about the last half second.
	Demands(now time.Time) []share.Demand
	// UpdateShares updates the totals. It is called with the node locked, so it must not call the node.
	UpdateShares(totals share.Totals)
}

// Node exchanges summaries with the neighbours of this node.
type Node struct {
	messenger   Messenger
	source      DemandSource
	metrics     *Metrics
	rescheduled chan struct{} // signals a change of the next tick

	mu    sync.Mutex
	state *share.State
	view  view
}

// New returns a node that knows no neighbours; it counts demand once it runs.
func New(self vaneyoke.VMID, messenger Messenger, source DemandSource, metrics *Metrics, log logrus.FieldLogger) *Node {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Node{
		messenger: messenger, source: source, metrics: metrics, rescheduled: make(chan struct{}, 1),
		state: share.New(self, uint64(time.Now().UnixMilli()), rng), //nolint:gosec // after 1970
		view:  view{log: log},
	}
}

// Run counts this node's demand and sends summaries until ctx is done.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			n.tick()
		case <-n.rescheduled:
		}
		n.mu.Lock()
		next := n.state.NextTick()
		n.mu.Unlock()
		timer.Reset(next.Sub(steady.Now()))
	}
}

// SetTree updates the neighbours of this node in the tree of the tables; parent is "" if it follows no node.
func (n *Node) SetTree(parent vaneyoke.VMID, children []vaneyoke.VMID) {
	n.handle(share.TreeUpdated{Parent: parent, Children: children})
}

// HandleDatagram handles a summary of another node, and reports whether it could be read.
func (n *Node) HandleDatagram(data []byte) bool {
	summary, err := share.Decode(data)
	if err != nil {
		n.metrics.countDropped("unreadable")
		return false
	}
	n.metrics.countReceived(len(data))
	n.handle(share.SummaryReceived{Summary: summary})
	return true
}

func (n *Node) tick() {
	now := steady.Now()
	n.mu.Lock()
	due := n.state.CountDue(now)
	n.mu.Unlock()
	if due && n.source.Active() {
		n.handle(share.Counted{Demands: n.source.Demands(now)})
	}
	n.handle(share.Tick{})
}

// handle passes an event to the state and applies the effects. Totals are delivered under the lock, so that the last ones delivered are the
// current ones.
func (n *Node) handle(ev share.Event) {
	var sends []share.SendSummary
	n.mu.Lock()
	now := steady.Now()
	before := n.state.NextTick()
	for _, effect := range n.state.Handle(now, ev) {
		switch e := effect.(type) {
		case share.SendSummary:
			sends = append(sends, e)
		case share.UpdateTotals:
			n.metrics.setTotals(e.Totals)
			n.view.update(now, e.Totals)
			n.source.UpdateShares(e.Totals)
		case share.SummaryDropped:
			n.metrics.countDropped(string(e.Reason))
		}
	}
	rescheduled := !n.state.NextTick().Equal(before)
	n.mu.Unlock()
	for _, s := range sends {
		n.send(s)
	}
	if rescheduled {
		select {
		case n.rescheduled <- struct{}{}:
		default:
		}
	}
}

func (n *Node) send(s share.SendSummary) {
	data := share.Encode(s.Summary)
	if len(data) > share.MaxBytes {
		n.metrics.countTooLarge()
		return
	}
	if n.messenger.SendShares(s.To, data) {
		n.metrics.countSent(len(data))
	}
}
