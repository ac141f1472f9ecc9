package quarantines

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/quarantine"
	"github.com/vaneyoke/vaneyoke/internal/background"
)

const (
	storeTimeout  = 1500 * time.Millisecond // of a call to the store
	maxStartWait  = storeTimeout            // of the requests of a node that has just started, for the store's rows
	maxStoreCalls = 4                       // concurrent calls to the store; calls beyond that are made at a later tick
)

// Store stores the crashes that contents caused.
type Store interface {
	// Write writes a row if the stored row has its revision, 0 for no row. An error with CodeStoreRace means that the revisions differ; after any
	// other error, the row may have been written.
	Write(ctx context.Context, row quarantine.Row) error
	// Remove removes a row if it has the given revision.
	Remove(ctx context.Context, content vaneyoke.ContentID, revision vaneyoke.Revision) error
}

// Reader reports whether this node reads the store.
type Reader interface {
	// ReadsStore reports whether this node reads the store for other nodes.
	ReadsStore() bool
}

// Broadcaster sends observations to the other nodes.
type Broadcaster interface {
	// ObserveRun broadcasts what a request did to an upstream.
	ObserveRun(upstream vaneyoke.UpstreamID, kind gossip.Kind, run gossip.Run)
}

// Node carries out the quarantine on this node.
type Node struct {
	store       Store
	reader      Reader
	broadcaster Broadcaster
	onBlock     func(vaneyoke.ContentID) // cancels the requests of a blocked content
	metrics     *Metrics
	log         logrus.FieldLogger
	calls       *background.Runner // to the store
	known       chan struct{}      // closed once the store's rows are known, or have not come in time
	knownOnce   sync.Once
	awaited     sync.Once // by the first request

	mu     sync.Mutex
	state  *quarantine.State
	timer  *time.Timer
	closed bool
}

// Metrics counts crashes, blocks and calls to the store.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are published under "quarantine" in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("quarantine", m.counts)
	return m
}

// New returns a node that knows of no crashes.
func New(config quarantine.Config, store Store, reader Reader, broadcaster Broadcaster, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := &Node{
		store: store, reader: reader, broadcaster: broadcaster, onBlock: func(vaneyoke.ContentID) {}, metrics: metrics, log: log,
		calls: background.New(maxStoreCalls, storeTimeout), known: make(chan struct{}), state: quarantine.New(config),
	}
	n.timer = time.AfterFunc(time.Hour, func() { n.handle(quarantine.Tick{ReadsStore: n.reader.ReadsStore()}) })
	n.timer.Stop()
	return n
}

// NewStandalone returns a node that exchanges crashes with neither other nodes nor the store.
func NewStandalone(config quarantine.Config, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := New(config, standalone{}, standalone{}, standalone{}, metrics, log)
	n.stopWaits()
	return n
}

// standalone implements Store, Reader and Broadcaster and does nothing.
type standalone struct{}

func (standalone) Write(context.Context, quarantine.Row) error                         { return nil }
func (standalone) Remove(context.Context, vaneyoke.ContentID, vaneyoke.Revision) error { return nil }
func (standalone) ReadsStore() bool                                                    { return false }
func (standalone) ObserveRun(vaneyoke.UpstreamID, gossip.Kind, gossip.Run)             {}

// OnBlock sets the function that cancels the requests of a content when it is blocked. It is called once, before the node serves requests.
func (n *Node) OnBlock(onBlock func(vaneyoke.ContentID)) { n.onBlock = onBlock }

// Close stops the node's timer.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.timer.Stop()
}

// RecordCrash records that an upstream crashed as it began to run a request of this node, which was sent to it at sentAt.
func (n *Node) RecordCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	n.metrics.counts.Add("crashes_seen_total", 1)
	n.handle(quarantine.CrashObserved{Content: content, Upstream: upstream.ID, Incarnation: upstream.Incarnation, SentAt: sentAt})
}

// RecordLossWithoutCrash records that an upstream lost a request of this node as it began to run it, but has not crashed.
func (n *Node) RecordLossWithoutCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	n.metrics.counts.Add("losses_outlived_total", 1)
	n.log.WithFields(logrus.Fields{
		"content": content, "upstream": upstream.ID, "incarnation": uint64(upstream.Incarnation), "age_ms": time.Since(sentAt).Milliseconds(),
	}).Info("loss_outlived")
}

// RecordCompletion records that an upstream has completely answered a request of this node.
func (n *Node) RecordCompletion(content vaneyoke.ContentID) {
	n.handle(quarantine.RequestCompleted{Content: content})
}

// RecordGossip records a crash or a completed request that another node reported.
func (n *Node) RecordGossip(s gossip.Sighting) {
	if s.Kind == gossip.KindSurvived {
		n.handle(quarantine.CompletionReported{Content: s.Content})
		return
	}
	n.metrics.counts.Add("crashes_heard_total", 1)
	n.handle(quarantine.CrashReported{
		Content: s.Content, Origin: s.Origin, FromNeighbour: s.Hops == 1,
		Crash: quarantine.Crash{Upstream: s.Upstream, Incarnation: s.Incarnation, PriorCrashes: s.PriorCrashes},
	})
}

// SetRows updates the store's rows.
func (n *Node) SetRows(rows []quarantine.Row) {
	n.handle(quarantine.RowsUpdated{Rows: rows})
	n.stopWaits()
}

// AwaitRows waits until the store's rows are known, or until ctx is done. It does not wait for maxStartWait after its first call, since a source of an
// earlier build does not send the rows.
func (n *Node) AwaitRows(ctx context.Context) {
	select {
	case <-n.known:
		return
	default:
	}
	n.awaited.Do(func() { time.AfterFunc(maxStartWait, n.stopWaits) })
	select {
	case <-n.known:
	case <-ctx.Done():
	}
}

func (n *Node) stopWaits() { n.knownOnce.Do(func() { close(n.known) }) }

// Blocked reports whether a content is blocked, and for how much longer.
func (n *Node) Blocked(content vaneyoke.ContentID) (remaining time.Duration, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Blocked(time.Now(), content)
}

// handle passes an event to the state and applies the effects; calls to other components are made without the lock.
func (n *Node) handle(event quarantine.Event) {
	for _, effect := range n.update(event) {
		n.apply(effect)
	}
}

// update passes an event to the state and returns the effects.
func (n *Node) update(event quarantine.Event) []quarantine.Effect {
	n.mu.Lock()
	defer n.mu.Unlock()
	effects := append([]quarantine.Effect(nil), n.state.Handle(time.Now(), event)...)
	if at := n.state.NextTick(); !at.IsZero() && !n.closed {
		n.timer.Reset(time.Until(at))
	}
	return effects
}

func (n *Node) apply(effect quarantine.Effect) {
	switch e := effect.(type) {
	case quarantine.Block:
		n.metrics.counts.Add("barred_total", 1)
		n.log.WithFields(logrus.Fields{"content": e.Content, "crashes": e.Crashes}).Warn("content_barred")
		n.onBlock(e.Content)
	case quarantine.Unblock:
		n.metrics.counts.Add("lifted_total", 1)
		n.log.WithField("content", e.Content).Info("content_admitted")
	case quarantine.BroadcastCrash:
		n.log.WithFields(logrus.Fields{
			"content": e.Content, "upstream": e.Crash.Upstream, "incarnation": uint64(e.Crash.Incarnation), "again": e.Crash.PriorCrashes,
		}).Info("crash_told")
		n.broadcaster.ObserveRun(e.Crash.Upstream, gossip.KindCrash, gossip.Run{Content: e.Content, Incarnation: e.Crash.Incarnation, PriorCrashes: e.Crash.PriorCrashes})
	case quarantine.Dismiss:
		n.metrics.counts.Add("crashes_dismissed_total", 1)
		n.log.WithFields(logrus.Fields{
			"content": e.Content, "upstream": e.Crash.Upstream, "incarnation": uint64(e.Crash.Incarnation), "again": e.Crash.PriorCrashes, "reason": e.Reason,
		}).Info("crash_dismissed")
	case quarantine.BroadcastCompletion:
		n.broadcaster.ObserveRun("", gossip.KindSurvived, gossip.Run{Content: e.Content})
	case quarantine.WriteRow:
		n.callStore("crashes_written", e.Row.Content, func(ctx context.Context) error { return n.store.Write(ctx, e.Row) })
	case quarantine.RemoveRow:
		n.callStore("crashes_removed", e.Content, func(ctx context.Context) error { return n.store.Remove(ctx, e.Content, e.Revision) })
	}
}

// callStore calls the store in the background. The result is known when the updated row comes back.
func (n *Node) callStore(event string, content vaneyoke.ContentID, do func(ctx context.Context) error) {
	n.calls.Go(do, func(err error) {
		n.metrics.counts.Add(event+"_total", 1)
		n.logCall(event, content, err)
	})
}

func (n *Node) logCall(event string, content vaneyoke.ContentID, err error) {
	fields := logrus.Fields{"content": content, "error": err}
	if event == "crashes_removed" {
		n.log.WithFields(fields).Info("crashes_removed")
		return
	}
	n.log.WithFields(fields).Info("crashes_written")
}
