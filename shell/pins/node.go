package pins

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Messenger sends messages to other nodes; they may be lost.
type Messenger interface {
	// SendPins sends an encoded message to the node at an address, and reports whether it was sent.
	SendPins(address string, data []byte) bool
}

// Node keeps the records of streams that this node and others serve.
type Node struct {
	messenger Messenger
	metrics   *Metrics
	log       logrus.FieldLogger

	mu      sync.Mutex
	state   *pinning.State
	timer   *time.Timer
	closed  bool
	lastID  pinning.LookupID
	waiting map[pinning.LookupID]chan pinning.Origin
}

// New returns a node that knows no streams.
func New(self pinning.Member, listing pinning.Listing, messenger Messenger, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := &Node{
		messenger: messenger, metrics: metrics, log: log, state: pinning.New(self, listing), waiting: map[pinning.LookupID]chan pinning.Origin{},
	}
	n.timer = time.AfterFunc(time.Hour, func() { n.handle(pinning.Tick{}) })
	n.timer.Stop()
	metrics.publish(n.stats)
	return n
}

// Close stops the node's timer.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.timer.Stop()
}

func (n *Node) stats() pinning.Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Stats()
}

// SetMembers updates the nodes whose builds keep records.
func (n *Node) SetMembers(all []pinning.Member) { n.handle(pinning.MembersUpdated{All: all}) }

// StreamBegun has the record of a stream kept elsewhere. It returns when the record is on its way, so that it is called before the stream's first
// event is given to the caller.
func (n *Node) StreamBegun(begun pinning.StreamBegun) {
	begun.Deadline = steady.Now().Add(time.Until(begun.Deadline))
	n.handle(begun)
}

// StreamEnded says that a stream is not served here any more.
func (n *Node) StreamEnded(stream pinning.StreamID) { n.handle(pinning.StreamEnded{Stream: stream}) }

// Find returns what is known of the software that began a stream whose caller resumes it.
func (n *Node) Find(ctx context.Context, lookup Lookup) (pinning.Origin, error) {
	startedAt := steady.Now()
	decided := make(chan pinning.Origin, 1)
	n.mu.Lock()
	n.lastID++
	id := n.lastID
	n.waiting[id] = decided
	n.mu.Unlock()
	defer n.forget(id)
	n.handle(pinning.Lookup{ID: id, Stream: lookup.stream(), Services: lookup.Services, MaxAge: lookup.MaxAge})
	select {
	case origin := <-decided:
		n.record(lookup, origin, steady.Now().Sub(startedAt))
		return origin, nil
	case <-ctx.Done():
		n.handle(pinning.LookupCancelled{ID: id})
		return pinning.Origin{}, vaneyoke.WrapErr(vaneyoke.CodeCallerGone, ctx.Err(), "caller is gone")
	}
}

func (n *Node) forget(id pinning.LookupID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.waiting, id)
}

// record counts and logs the result of a lookup.
func (n *Node) record(lookup Lookup, origin pinning.Origin, took time.Duration) {
	n.metrics.counts.Add("lookups_"+origin.Basis.String()+"_total", 1)
	n.log.WithFields(logrus.Fields{
		"request": lookup.Request, "resumes": lookup.Resumes, "after": lookup.After, "basis": origin.Basis, "service": origin.Software.Service,
		"software": origin.Software.Version, "peer": origin.Peer, "asked": origin.Asked, "answered": origin.Answered, "candidates": origin.Candidates,
		"covered_ms": origin.Coverage.Milliseconds(), "max_age_ms": lookup.MaxAge.Milliseconds(), "ms": took.Milliseconds(),
	}).Info("stream_looked_up")
}

// HandleDatagram handles a message of another node, and reports whether it is one.
func (n *Node) HandleDatagram(data []byte) bool {
	m, err := pinning.Decode(data)
	if err != nil {
		return false
	}
	n.metrics.counts.Add("records_received_total", int64(len(m.Records)))
	n.metrics.counts.Add("queries_received_total", int64(len(m.Queries)))
	n.handle(pinning.MessageReceived{Message: m})
	return true
}

// handle passes an event to the state and applies the effects.
func (n *Node) handle(ev pinning.Event) {
	for _, e := range n.update(ev) {
		n.send(e)
	}
}

// update passes an event to the state and returns what is to be sent.
func (n *Node) update(ev pinning.Event) (sends []pinning.Send) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := steady.Now()
	for _, effect := range n.state.Handle(now, ev) {
		switch e := effect.(type) {
		case pinning.Send:
			sends = append(sends, e)
		case pinning.LookupDecided:
			if decided := n.waiting[e.ID]; decided != nil {
				delete(n.waiting, e.ID)
				decided <- e.Origin
			}
		}
	}
	if at := n.state.NextTick(); !at.IsZero() && !n.closed {
		n.timer.Reset(at.Sub(now))
	}
	return sends
}

func (n *Node) send(e pinning.Send) {
	if !n.messenger.SendPins(e.To, pinning.Encode(e.Message)) {
		n.metrics.counts.Add("messages_unsent_total", 1)
		return
	}
	n.metrics.counts.Add("records_sent_total", int64(len(e.Message.Records)))
	n.metrics.counts.Add("queries_sent_total", int64(len(e.Message.Queries)))
}
