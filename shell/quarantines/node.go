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
	storeWait = 1500 * time.Millisecond // longest wait for the store
	mostCalls = 4                       // to the store at a time; what comes beyond is done at a later tick
)

// Store keeps what is known of requests that end upstreams.
type Store interface {
	// Write writes a row where its revision is the row's, 0 for no row; an error with CodeStoreRace says that it has another one, and
	// any other that it may have been written.
	Write(ctx context.Context, row quarantine.Row) error
	// Remove removes a row of a revision.
	Remove(ctx context.Context, content vaneyoke.ContentID, revision vaneyoke.Revision) error
}

// Reader tells the node's part in reading the store.
type Reader interface {
	// Reads reports whether the node reads the store for others.
	Reads() bool
}

// Teller tells the other nodes.
type Teller interface {
	// SeenRun tells what a request did to an upstream.
	SeenRun(upstream vaneyoke.UpstreamID, kind gossip.Kind, run gossip.Run)
}

// Node is this node's part in the quarantine.
type Node struct {
	store   Store
	reader  Reader
	teller  Teller
	bar     func(vaneyoke.ContentID) // ends what is under way of a content
	metrics *Metrics
	log     logrus.FieldLogger
	calls   *background.Runner // to the store

	mu    sync.Mutex
	state *quarantine.State
	timer *time.Timer
	ended bool
}

// Metrics counts what a node does for the quarantine.
type Metrics struct{ counts *expvar.Map }

// NewMetrics returns metrics that are told under "quarantine" among vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{counts: new(expvar.Map).Init()}
	vars.Set("quarantine", m.counts)
	return m
}

// New returns a node's part in the quarantine.
func New(config quarantine.Config, store Store, reader Reader, teller Teller, metrics *Metrics, log logrus.FieldLogger) *Node {
	n := &Node{
		store: store, reader: reader, teller: teller, bar: func(vaneyoke.ContentID) {}, metrics: metrics, log: log,
		calls: background.New(mostCalls, storeWait), state: quarantine.New(config),
	}
	n.timer = time.AfterFunc(time.Hour, func() { n.handle(quarantine.Tick{Reads: n.reader.Reads()}) })
	n.timer.Stop()
	return n
}

// NewAlone returns the part of a node that keeps what it knows to itself.
func NewAlone(config quarantine.Config, metrics *Metrics, log logrus.FieldLogger) *Node {
	return New(config, alone{}, alone{}, alone{}, metrics, log)
}

// alone is neither told nor tells.
type alone struct{}

func (alone) Write(context.Context, quarantine.Row) error                         { return nil }
func (alone) Remove(context.Context, vaneyoke.ContentID, vaneyoke.Revision) error { return nil }
func (alone) Reads() bool                                                         { return false }
func (alone) SeenRun(vaneyoke.UpstreamID, gossip.Kind, gossip.Run)                {}

// OnBar sets what ends the requests under way of a content that is barred; it is called once, before the node serves.
func (n *Node) OnBar(bar func(vaneyoke.ContentID)) { n.bar = bar }

// Close ends the node's part.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	n.timer.Stop()
}

// Crashed takes in that an upstream ended as it began to run a request of this node, which was sent to it at a time.
func (n *Node) Crashed(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	n.metrics.counts.Add("crashes_seen_total", 1)
	n.handle(quarantine.Crashed{Content: content, Upstream: upstream.ID, Incarnation: upstream.Incarnation, SentAt: sentAt})
}

// Outlived takes in that an upstream goes on which has lost a request of this node as it began to run it.
func (n *Node) Outlived(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	n.metrics.counts.Add("losses_outlived_total", 1)
	n.log.WithFields(logrus.Fields{
		"content": content, "upstream": upstream.ID, "incarnation": uint64(upstream.Incarnation), "age_ms": time.Since(sentAt).Milliseconds(),
	}).Info("loss_outlived")
}

// Survived takes in that an upstream has answered a request of this node in whole.
func (n *Node) Survived(content vaneyoke.ContentID) {
	n.handle(quarantine.Survived{Content: content})
}

// Heard takes in what another node tells.
func (n *Node) Heard(s gossip.Sighting) {
	if s.Kind == gossip.KindSurvived {
		n.handle(quarantine.HeardSurvived{Content: s.Content})
		return
	}
	n.metrics.counts.Add("crashes_heard_total", 1)
	n.handle(quarantine.Heard{
		Content: s.Content, By: s.Origin, Next: s.Hops == 1,
		Crash: quarantine.Crash{Upstream: s.Upstream, Incarnation: s.Incarnation, Again: s.Again},
	})
}

// SetRows takes in the store's rows.
func (n *Node) SetRows(rows []quarantine.Row) { n.handle(quarantine.Recorded{Rows: rows}) }

// Barred reports whether a content is sent to no upstream, and for how long it is not.
func (n *Node) Barred(content vaneyoke.ContentID) (left time.Duration, barred bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Barred(time.Now(), content)
}

// handle gives an event to the state and carries out what follows; whatever calls out does so without the lock.
func (n *Node) handle(event quarantine.Event) {
	n.mu.Lock()
	effects := append([]quarantine.Effect(nil), n.state.Handle(time.Now(), event)...)
	if at := n.state.Next(); !at.IsZero() && !n.ended {
		n.timer.Reset(time.Until(at))
	}
	n.mu.Unlock()
	for _, effect := range effects {
		n.carryOut(effect)
	}
}

func (n *Node) carryOut(effect quarantine.Effect) {
	switch e := effect.(type) {
	case quarantine.Bar:
		n.metrics.counts.Add("barred_total", 1)
		n.log.WithFields(logrus.Fields{"content": e.Content, "crashes": e.Crashes}).Warn("content_barred")
		n.bar(e.Content)
	case quarantine.Lift:
		n.metrics.counts.Add("lifted_total", 1)
		n.log.WithField("content", e.Content).Info("content_admitted")
	case quarantine.Tell:
		n.log.WithFields(logrus.Fields{
			"content": e.Content, "upstream": e.Crash.Upstream, "incarnation": uint64(e.Crash.Incarnation), "again": e.Crash.Again,
		}).Info("crash_told")
		n.teller.SeenRun(e.Crash.Upstream, gossip.KindCrash, gossip.Run{Content: e.Content, Incarnation: e.Crash.Incarnation, Again: e.Crash.Again})
	case quarantine.Dismiss:
		n.metrics.counts.Add("crashes_dismissed_total", 1)
		n.log.WithFields(logrus.Fields{
			"content": e.Content, "upstream": e.Crash.Upstream, "incarnation": uint64(e.Crash.Incarnation), "again": e.Crash.Again, "reason": e.Reason,
		}).Info("crash_dismissed")
	case quarantine.TellSurvived:
		n.teller.SeenRun("", gossip.KindSurvived, gossip.Run{Content: e.Content})
	case quarantine.Write:
		n.call("crashes_written", e.Row.Content, func(ctx context.Context) error { return n.store.Write(ctx, e.Row) })
	case quarantine.Remove:
		n.call("crashes_removed", e.Content, func(ctx context.Context) error { return n.store.Remove(ctx, e.Content, e.Revision) })
	}
}

// call calls the store; what became of it is seen when the row comes back.
func (n *Node) call(event string, content vaneyoke.ContentID, do func(ctx context.Context) error) {
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
