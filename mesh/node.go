package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/watch"
)

// Path is where a node tells its tables to others.
const Path = "/tables"

// Config holds the bounds of the mesh.
type Config struct {
	Direct int           // members up to which every node reads the store itself
	Most   int           // nodes that are asked in turn before the store is read
	Settle time.Duration // for which a new node does not go by the number of members, because the others of a new fleet register meanwhile
	First  time.Duration // how long a node of a new fleet waits for the others to register before it reads the store
	Lead   time.Duration // how long others are asked before the store is read
	Beat   time.Duration // time between two frames without a change
	Stall  time.Duration // time without a frame after which another node is asked
	OldAge time.Duration // age of the tables from which a node is not relied on
	Own    time.Duration // how long a node that found nobody to rely on waits before it asks again
	Reader watch.Config  // of a node that reads the store for others
	Small  watch.Config  // of the nodes of a fleet so small that each reads the store itself
	Slow   watch.Config  // of tables that may lag

	Members   string        // name of the table in which the members register themselves
	Check     time.Duration // time between two looks for members that are gone
	GoneAfter time.Duration // for which a member must not have answered to be taken off
}

// DefaultConfig returns the bounds that the nodes start from.
func DefaultConfig() Config {
	reader := watch.DefaultConfig()
	reader.Wait, reader.Slack = 1100*time.Millisecond, 500*time.Millisecond
	slow := watch.DefaultConfig()
	slow.Wait, slow.Slack, slow.Gather = 10*time.Second, time.Second, 300*time.Millisecond
	return Config{
		Direct: 16, Most: 3, Settle: time.Second, First: 600 * time.Millisecond, Lead: 300 * time.Millisecond, Beat: 250 * time.Millisecond, Stall: 800 * time.Millisecond,
		OldAge: 1500 * time.Millisecond, Own: 3 * time.Second, Reader: reader, Small: watch.DefaultConfig(), Slow: slow,
		Members: "members", Check: time.Minute, GoneAfter: 10 * time.Minute,
	}
}

// Registry is where members register themselves.
type Registry interface {
	// Put writes a member's entry under its VM's name, over any earlier one.
	Put(ctx context.Context, key string, data []byte) error
	// Remove takes off an entry of a version; it does nothing to a later one.
	Remove(ctx context.Context, key string, version watch.Version) error
}

// Node is this node's part in the mesh.
type Node struct {
	self     Member
	config   Config
	hub      *Hub
	registry Registry
	client   *http.Client
	log      logrus.FieldLogger

	settled atomic.Bool // whether the number of members counts

	mu      sync.Mutex
	members []Member
	changed chan struct{} // closed when members are taken in next
}

// New returns a node's part in the mesh, which keeps the hub's tables up to date.
func New(self Member, config Config, hub *Hub, registry Registry, client *http.Client, log logrus.FieldLogger) *Node {
	return &Node{self: self, config: config, hub: hub, registry: registry, client: client, log: log, changed: make(chan struct{})}
}

// SetMembers takes in the members as they are registered.
func (n *Node) SetMembers(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = members
	close(n.changed)
	n.changed = make(chan struct{})
}

// Members returns how many members there are, this node among them.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(len(n.members), 1)
}

// Run keeps the hub's tables up to date until ctx ends. It reads the store whenever there is no other node to rely on,
// also while it asks others for longer than a short lead, so that the loss of a reader costs no more than that.
func (n *Node) Run(ctx context.Context) {
	reading := n.startReading(ctx, n.config.First)
	defer func() { reading.stop() }()
	n.awaitMembers(ctx)
	known := n.registered()
	var registering sync.WaitGroup
	registering.Go(func() {
		n.register(ctx)
		n.tidy(ctx)
	})
	defer registering.Wait()
	settled := time.AfterFunc(n.config.Settle, func() { n.settled.Store(true) })
	defer settled.Stop()
	for ctx.Err() == nil {
		changed := n.membersChanged()
		if n.followAny(ctx, n.above(), func() { reading.stop() }) {
			reading = n.startReading(ctx, n.config.Lead)
			continue
		}
		if known || !n.isSmall() { // a new fleet is small while its nodes register
			reading.begin()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(n.config.Own):
		}
	}
}

// awaitMembers waits until the members have been read, for a while at the longest.
func (n *Node) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Settle)
	defer cancel()
	changed := n.membersChanged()
	if n.membersKnown() {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// membersKnown reports whether the members have been read.
func (n *Node) membersKnown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members != nil
}

// membersChanged returns a channel that is closed when members are taken in next.
func (n *Node) membersChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// above returns the members that this node asks for the tables.
func (n *Node) above() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return sources(n.members, n.self, n.config.Direct, n.config.Most)
}

// isSmall reports whether the fleet is so small that every node reads the store itself.
func (n *Node) isSmall() bool { return n.Members() <= n.config.Direct }

// registered reports whether the own entry stands among the members as it is.
func (n *Node) registered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.members, n.self)
}

// register writes the own entry where an earlier start has not; nobody asks a node that could not.
func (n *Node) register(ctx context.Context) {
	const tries = 3
	if n.self.Address == "" || n.registered() {
		return
	}
	entry, err := json.Marshal(n.self)
	if err != nil {
		n.log.WithField("error", err).Error("register_failed")
		return
	}
	for range tries {
		callCtx, cancel := context.WithTimeout(ctx, n.config.Reader.Wait)
		err := n.registry.Put(callCtx, string(n.self.VM), entry)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		n.log.WithField("error", err).Warn("register_failed")
		pause.For(ctx, n.config.Reader.Pause)
	}
}

// reading is the following of the store's tables.
type reading struct {
	begin func() // ends the lead
	stop  func()
}

// startReading follows the store's tables after a lead, or as soon as it is told to begin, until it is stopped. A table
// that may lag does not wait: the list of whom to ask is one.
func (n *Node) startReading(ctx context.Context, lead time.Duration) *reading {
	ctx, cancel := context.WithCancel(ctx)
	led, begin := context.WithTimeout(ctx, lead)
	var work sync.WaitGroup
	for name, t := range n.hub.tables {
		_, _, held := n.hub.Held(name)
		work.Go(func() {
			if held || !t.MayLag {
				<-led.Done()
			}
			if ctx.Err() == nil {
				n.follower(name).Run(ctx)
			}
		})
	}
	work.Go(func() {
		<-led.Done()
		if ctx.Err() == nil {
			n.log.WithField("members", n.Members()).Info("reads_store")
		}
	})
	return &reading{begin: begin, stop: func() {
		cancel()
		work.Wait()
	}}
}

// follower returns a follower of one of the store's tables, which goes on from what the hub holds.
func (n *Node) follower(name string) *watch.Follower {
	t := n.hub.tables[name]
	times := func() watch.Config {
		config := n.times()
		if t.MayLag {
			config = n.config.Slow
		}
		config.Grace = t.Grace
		return config
	}
	f := watch.New(name, t.Source, times, &sink{hub: n.hub, table: name}, n.log)
	if rows, version, ok := n.hub.Held(name); ok {
		f.Resume(rows, version)
	}
	return f
}

// times returns the times of a node that reads the store.
func (n *Node) times() watch.Config {
	if n.settled.Load() && n.isSmall() {
		return n.config.Small
	}
	return n.config.Reader
}

// sink gives the hub what the store tells of a table.
type sink struct {
	hub   *Hub
	table string
}

// Set takes in all rows.
func (s *sink) Set(now time.Time, rows watch.Rows, version watch.Version) {
	s.hub.Set(now, s.table, rows, version, now)
}

// Confirm notes that the rows have not changed.
func (s *sink) Confirm(now time.Time, version watch.Version) { s.hub.Confirm(s.table, version, now) }

// followAny follows the first of some members that can be relied on, and reports whether there was one; found is called
// when there is.
func (n *Node) followAny(ctx context.Context, members []Member, found func()) bool {
	for _, m := range members {
		relied, err := n.follow(ctx, m, found)
		if ctx.Err() != nil {
			return true
		}
		n.log.WithFields(logrus.Fields{"peer": m.VM, "relied": relied, "error": err}).Info("peer_lost")
		if relied {
			return true
		}
	}
	return false
}

var (
	errStalled = errors.New("no word in time")
	errOld     = errors.New("its tables are old")
)

// follow takes in what a member tells until it cannot be relied on any more; relied says whether it ever could, and
// found is called when it can.
func (n *Node) follow(ctx context.Context, m Member, found func()) (relied bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(n.config.Stall, func() { cancel(errStalled) })
	defer stall.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+Path+"?"+n.hub.held(), nil)
	if err != nil {
		return false, err
	}
	res, err := n.client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", res.StatusCode)
	}
	return n.takeFrames(bufio.NewReader(res.Body), stall, found)
}

func (n *Node) takeFrames(r io.Reader, stall *time.Timer, found func()) (relied bool, err error) {
	patience := time.Now().Add(n.config.Stall)
	for {
		p, err := readPacket(r)
		if err != nil {
			return relied, err
		}
		f, err := p.unpack()
		if err != nil {
			return relied, err
		}
		now := time.Now()
		n.hub.take(now, f)
		stall.Reset(n.config.Stall)
		if f.Beat == nil {
			continue
		}
		old := !f.Beat.Known || time.Duration(f.Beat.AgeMs)*time.Millisecond > n.config.OldAge
		if old && (relied || now.After(patience)) {
			return relied, errOld
		}
		if !old && !relied {
			relied = true
			found()
		}
	}
}

// Handler returns the handler by which the node tells its tables to others.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, n.tell)
	return mux
}

// tell writes what has changed at each change, and how old the tables are then and now and then.
func (n *Node) tell(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	before := toldOf(r.URL.Query())
	ticker := time.NewTicker(n.config.Beat)
	defer ticker.Stop()
	for {
		update, b, changed, err := n.hub.next(time.Now(), before)
		if err != nil {
			n.log.WithField("error", err).Error("frame_unwritable")
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(n.config.Stall))
		if err := errors.Join(writeFrames(w, update, b), control.Flush()); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// writeFrames writes an update, where there is one, and how old the tables are.
func writeFrames(w io.Writer, update packet, b beat) error {
	if update != nil {
		if err := update.writeTo(w); err != nil {
			return err
		}
	}
	p, err := pack(frame{Beat: &b})
	if err != nil {
		return err
	}
	return p.writeTo(w)
}

// DecodeMembers returns the members of a table's rows; a row that cannot be read is left out.
func DecodeMembers(rows watch.Rows) []Member {
	return lo.FilterMap(lo.Values(rows), func(row watch.Row, _ int) (Member, bool) {
		var m Member
		err := json.Unmarshal(row.Data, &m)
		return m, err == nil && m.Address != ""
	})
}
