package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/freshness"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

const (
	// pollJitter is the share of a poll period that is random, so that nodes do not read in step.
	pollJitter = 0.2
)

// Peers asks other nodes which configuration they have in force.
type Peers interface {
	// Known returns the VMs of all nodes that the platform lists.
	Known() []vaneyoke.VMID
	// Confirm returns a node's revision, and its configuration as JSON where that is wanted and newer.
	Confirm(ctx context.Context, vm vaneyoke.VMID, revision vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte, error)
}

// Follower keeps the newest configuration that the node has seen, and knows whether it may still rely on it.
type Follower struct {
	self   Node
	table  store.Table
	peers  Peers
	period time.Duration
	log    logrus.FieldLogger
	apply  func(*Snapshot)
	nudge  chan struct{}

	mu      sync.Mutex
	current *Snapshot
	fresh   *freshness.State
}

// NewFollower returns a follower that reads the revision once in a period and calls apply with each newer configuration.
// A confirmation by the store or by a majority of the nodes counts for the time that lasts says.
func NewFollower(self Node, table store.Table, peers Peers, period, lasts time.Duration, log logrus.FieldLogger, apply func(*Snapshot)) *Follower {
	return &Follower{
		self: self, table: table, peers: peers, period: period, log: log, apply: apply,
		nudge:   make(chan struct{}, 1),
		current: New(Content{}),
		fresh:   freshness.New(self.VM, lasts),
	}
}

// Current returns the newest configuration seen; before the first it has revision 0 and is empty.
func (f *Follower) Current() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Fresh reports whether the node may take new work.
func (f *Follower) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Fresh(now)
}

// confirms reports whether the node may confirm others.
func (f *Follower) confirms() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.ConfirmableRevision() > 0
}

// Nudge has the store read at once, because a newer revision is said to exist.
func (f *Follower) Nudge() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Poll(ctx)
		jitter := 1 - pollJitter*rand.Float64()
		timer := time.NewTimer(time.Duration(float64(f.period) * jitter))
		select {
		case <-ctx.Done():
		case <-f.nudge:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Poll reads the store, and asks the other nodes where that fails.
func (f *Follower) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.period)
	defer cancel()
	err := f.readStore(ctx)
	if err == nil {
		return
	}
	f.log.WithField("error", err).Warn("configuration_read_failed")
	f.askPeers(ctx)
}

// readStore reads the revision, and the configuration where it is newer.
func (f *Follower) readStore(ctx context.Context) error {
	// Half of the time is kept for asking the other nodes.
	ctx, cancel := context.WithTimeout(ctx, f.period/2)
	defer cancel()
	began := steady.Now()
	revision, err := ReadRevision(ctx, f.table)
	if err != nil {
		return err
	}
	if revision > f.Current().Revision {
		snapshot, err := Read(ctx, f.table, f.Current())
		if err != nil {
			return err
		}
		f.put(snapshot)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.RecordStoreRead(began, revision)
	return nil
}

// put puts a configuration in force; an older one is never taken.
func (f *Follower) put(snapshot *Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Revision <= f.current.Revision {
		return
	}
	f.apply(snapshot)
	f.current = snapshot
	f.fresh.Apply(snapshot.Revision, snapshot.Members())
	f.log.WithField("policy", uint64(snapshot.Revision)).Info("configuration_applied")
}

// askPeers asks as many of the members, drawn anew each time, as are a majority with the own node and one more,
// and the rest where those do not confirm the node for long enough.
// A node that has no configuration yet gets one from any node that it knows, and asks that one's members after.
func (f *Follower) askPeers(ctx context.Context) {
	if f.Current().Revision == 0 {
		f.askEach(ctx, f.peers.Known())
	}
	members := slices.DeleteFunc(f.Current().Members(), func(vm vaneyoke.VMID) bool { return vm == f.self.VM })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	enough := min(freshness.Majority(len(members)+1), len(members))
	f.askEach(ctx, members[:enough])
	if !f.Fresh(steady.Now().Add(f.period)) {
		f.askEach(ctx, members[enough:])
	}
}

func (f *Follower) askEach(ctx context.Context, vms []vaneyoke.VMID) {
	var wait sync.WaitGroup
	for _, vm := range vms {
		if vm != f.self.VM {
			wait.Go(func() { f.askPeer(ctx, vm) })
		}
	}
	wait.Wait()
}

func (f *Follower) askPeer(ctx context.Context, vm vaneyoke.VMID) {
	began := steady.Now()
	revision, raw, err := f.peers.Confirm(ctx, vm, f.Current().Revision, true)
	if err != nil {
		return
	}
	if len(raw) > 0 {
		f.takeFromPeer(vm, raw)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.RecordPeerAnswer(began, vm, revision)
}

func (f *Follower) takeFromPeer(vm vaneyoke.VMID, raw []byte) {
	var content Content
	if err := json.Unmarshal(raw, &content); err != nil {
		f.log.WithFields(logrus.Fields{"peer": vm, "error": err}).Error("configuration_from_peer_broken")
		return
	}
	f.put(New(content))
}

// Answer tells another node which revision this one confirms, and the configuration as JSON where that is wanted and newer; it is none
// before the node was confirmed itself. Where the other one knows a newer revision, the store is read first.
func (f *Follower) Answer(ctx context.Context, known vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte) {
	if known > f.Current().Revision {
		if err := f.readStore(ctx); err != nil {
			f.Nudge()
		}
	}
	current := f.Current()
	if !f.confirms() {
		return 0, nil
	}
	if !want || current.Revision <= known {
		return current.Revision, nil
	}
	raw, err := json.Marshal(current.Content)
	if err != nil {
		f.log.WithField("error", err).Error("configuration_does_not_encode")
	}
	return current.Revision, raw
}
