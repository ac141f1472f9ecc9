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
	// pollJitter is the random share of a poll interval; it keeps the nodes from reading at the same moment.
	pollJitter = 0.2
)

// Peers queries other nodes for their active configuration.
type Peers interface {
	// Known returns the VMs of all nodes in the platform's list.
	Known() []vaneyoke.VMID
	// Confirm returns a node's revision, and its configuration as JSON if it is wanted and newer than the given revision.
	Confirm(ctx context.Context, vm vaneyoke.VMID, revision vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte, error)
}

// Follower keeps the newest configuration that the node has seen, and tracks whether it is fresh enough to use.
type Follower struct {
	self         Node
	table        store.Table
	peers        Peers
	pollInterval time.Duration
	log          logrus.FieldLogger
	apply        func(*Snapshot)
	trigger      chan struct{}

	mu      sync.Mutex
	current *Snapshot
	fresh   *freshness.State
}

// NewFollower returns a follower that reads the revision once per pollInterval and calls apply with each newer configuration.
// A confirmation by the store or by a majority of the nodes is valid for the time given as validity.
func NewFollower(self Node, table store.Table, peers Peers, pollInterval, validity time.Duration, log logrus.FieldLogger, apply func(*Snapshot)) *Follower {
	return &Follower{
		self: self, table: table, peers: peers, pollInterval: pollInterval, log: log, apply: apply,
		trigger: make(chan struct{}, 1),
		current: New(Content{}),
		fresh:   freshness.New(self.VM, validity),
	}
}

// Current returns the newest configuration seen; until there is one, an empty one with revision 0.
func (f *Follower) Current() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Fresh reports whether the configuration is recent enough to accept new requests.
func (f *Follower) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Fresh(now)
}

// canConfirm reports whether the node may confirm the configuration to others.
func (f *Follower) canConfirm() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.ConfirmableRevision() > 0
}

// TriggerPoll makes Run read the store at once, because a newer revision has been reported.
func (f *Follower) TriggerPoll() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Poll(ctx)
		jitter := 1 - pollJitter*rand.Float64()
		timer := time.NewTimer(time.Duration(float64(f.pollInterval) * jitter))
		select {
		case <-ctx.Done():
		case <-f.trigger:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Poll reads the store, and queries the other nodes if that fails.
func (f *Follower) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.pollInterval)
	defer cancel()
	err := f.readStore(ctx)
	if err == nil {
		return
	}
	f.log.WithField("error", err).Warn("configuration_read_failed")
	f.queryPeers(ctx)
}

// readStore reads the revision, and the configuration if it is newer.
func (f *Follower) readStore(ctx context.Context) error {
	// The other half of the time is reserved for querying the other nodes.
	ctx, cancel := context.WithTimeout(ctx, f.pollInterval/2)
	defer cancel()
	startedAt := steady.Now()
	revision, err := ReadRevision(ctx, f.table)
	if err != nil {
		return err
	}
	if revision > f.Current().Revision {
		snapshot, err := Read(ctx, f.table, f.Current())
		if err != nil {
			return err
		}
		f.activate(snapshot)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.RecordStoreRead(startedAt, revision)
	return nil
}

// activate makes a configuration the current one, unless it is older.
func (f *Follower) activate(snapshot *Snapshot) {
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

// queryPeers queries randomly drawn members, one more than form a majority together with this node,
// and the rest if those do not confirm the node's configuration for long enough.
// A node without a configuration first gets one from any node that it knows, and then queries that configuration's members.
func (f *Follower) queryPeers(ctx context.Context) {
	if f.Current().Revision == 0 {
		f.queryEach(ctx, f.peers.Known())
	}
	members := slices.DeleteFunc(f.Current().Members(), func(vm vaneyoke.VMID) bool { return vm == f.self.VM })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	enough := min(freshness.Majority(len(members)+1), len(members))
	f.queryEach(ctx, members[:enough])
	if !f.Fresh(steady.Now().Add(f.pollInterval)) {
		f.queryEach(ctx, members[enough:])
	}
}

func (f *Follower) queryEach(ctx context.Context, vms []vaneyoke.VMID) {
	var wait sync.WaitGroup
	for _, vm := range vms {
		if vm != f.self.VM {
			wait.Go(func() { f.queryPeer(ctx, vm) })
		}
	}
	wait.Wait()
}

func (f *Follower) queryPeer(ctx context.Context, vm vaneyoke.VMID) {
	startedAt := steady.Now()
	revision, raw, err := f.peers.Confirm(ctx, vm, f.Current().Revision, true)
	if err != nil {
		return
	}
	if len(raw) > 0 {
		f.activateFromPeer(vm, raw)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.RecordPeerAnswer(startedAt, vm, revision)
}

func (f *Follower) activateFromPeer(vm vaneyoke.VMID, raw []byte) {
	var content Content
	if err := json.Unmarshal(raw, &content); err != nil {
		f.log.WithFields(logrus.Fields{"peer": vm, "error": err}).Error("configuration_from_peer_broken")
		return
	}
	f.activate(New(content))
}

// Confirm returns the revision that this node confirms to another one, and the configuration as JSON if it is wanted and newer than known.
// The revision is 0 until this node has been confirmed itself. If the other node knows a newer revision, the store is read first.
func (f *Follower) Confirm(ctx context.Context, known vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte) {
	if known > f.Current().Revision {
		if err := f.readStore(ctx); err != nil {
			f.TriggerPoll()
		}
	}
	current := f.Current()
	if !f.canConfirm() {
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
