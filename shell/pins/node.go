package pins

import (
	"context"
	"sync"
	"sync/atomic"
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

// Archive is the store's table of records, which outlast the processes of all nodes.
type Archive interface {
	// Write writes records and drops rows of this node in one transaction; after an error it may have been made.
	Write(ctx context.Context, put []pinning.Record, drop []pinning.RowKey) error
	// Read returns the records of a stream, of all nodes that served it.
	Read(ctx context.Context, stream pinning.StreamID) ([]pinning.Record, error)
	// Sweep deletes the rows that their nodes have not dropped in time, and returns how many.
	Sweep(ctx context.Context) (int, error)
}

const (
	storeTimeout  = 1500 * time.Millisecond // of a call to the store
	maxStoreReads = 16                      // concurrent reads of the store; further ones wait for up to storeTimeout
	maxStartWait  = 300 * time.Millisecond  // for the store's record of versions, at a node that has just started
)

// Node keeps the records of streams that this node and others serve.
type Node struct {
	messenger Messenger
	archive   Archive
	reads     chan struct{} // holds an element for each read of the store in flight
	known     chan struct{} // closed once the store's record of versions is known
	knownOnce sync.Once
	waited    atomic.Bool // whether that was waited for in vain
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
func New(self pinning.Member, listing pinning.Listing, messenger Messenger, archive Archive, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := &Node{
		messenger: messenger, archive: archive, reads: make(chan struct{}, maxStoreReads), known: make(chan struct{}), metrics: metrics, log: log, state: pinning.New(self, listing), waiting: map[pinning.LookupID]chan pinning.Origin{},
	}
	n.state.EnableArchive()
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

// VersionsKnown says that the store's record of versions is known; lookups wait for that at the start.
func (n *Node) VersionsKnown() { n.knownOnce.Do(func() { close(n.known) }) }

// awaitVersions waits for a while until the store's record of versions is known, and reports whether it is. It waits once only, since a source of an earlier
// build does not send it.
func (n *Node) awaitVersions(ctx context.Context) bool {
	wait := maxStartWait
	if n.waited.Load() {
		wait = 0
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-n.known:
		return true
	case <-ctx.Done():
		return false
	case <-timeout.C:
		n.waited.Store(true)
		return false
	}
}

// SetMixed updates the services of which several software versions may have begun streams.
func (n *Node) SetMixed(services []vaneyoke.ServiceID) {
	n.handle(pinning.VersionsMixed{Services: services})
}

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
	isKnown := n.awaitVersions(ctx)
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
		origin.StoreUnread = origin.StoreUnread || (origin.Basis == pinning.BasisNone && !isKnown)
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
		"store_unread": origin.StoreUnread, "covered_ms": origin.Coverage.Milliseconds(), "max_age_ms": lookup.MaxAge.Milliseconds(), "ms": took.Milliseconds(),
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
	for _, effect := range n.update(ev) {
		switch e := effect.(type) {
		case pinning.Send:
			n.send(e)
		case pinning.WriteRecords:
			go n.write(e)
		case pinning.ReadRecords:
			go n.read(e.Stream)
		case pinning.LookupDecided: // delivered already
		}
	}
}

// update passes an event to the state, delivers decided lookups, and returns the other effects.
func (n *Node) update(ev pinning.Event) (others []pinning.Effect) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := steady.Now()
	for _, effect := range n.state.Handle(now, ev) {
		decided, ok := effect.(pinning.LookupDecided)
		if !ok {
			others = append(others, effect)
		} else if waiting := n.waiting[decided.ID]; waiting != nil {
			delete(n.waiting, decided.ID)
			waiting <- decided.Origin
		}
	}
	if at := n.state.NextTick(); !at.IsZero() && !n.closed {
		n.timer.Reset(at.Sub(now))
	}
	return others
}

func (n *Node) send(e pinning.Send) {
	if !n.messenger.SendPins(e.To, pinning.Encode(e.Message)) {
		n.metrics.counts.Add("messages_unsent_total", 1)
		return
	}
	n.metrics.counts.Add("records_sent_total", int64(len(e.Message.Records)))
	n.metrics.counts.Add("queries_sent_total", int64(len(e.Message.Queries)))
}

// write writes records to the store.
func (n *Node) write(w pinning.WriteRecords) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := n.archive.Write(ctx, w.Put, w.Drop)
	n.metrics.counts.Add("store_writes_total", 1)
	if err != nil {
		n.log.WithFields(logrus.Fields{"count": len(w.Put), "error": err}).Warn("stream_records_unwritten")
	} else {
		n.metrics.counts.Add("records_archived_total", int64(len(w.Put)))
	}
	n.handle(pinning.RecordsWritten{OK: err == nil})
}

// read reads the records of a stream from the store.
func (n *Node) read(stream pinning.StreamID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	select {
	case n.reads <- struct{}{}:
		defer func() { <-n.reads }()
	case <-ctx.Done():
		n.handle(pinning.RecordsRead{Stream: stream})
		return
	}
	records, err := n.archive.Read(ctx, stream)
	n.metrics.counts.Add("store_reads_total", 1)
	n.handle(pinning.RecordsRead{Stream: stream, Records: records, OK: err == nil})
}
