package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
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
	Settle time.Duration // how long a new node asks nobody, while the others of a new fleet register
	Beat   time.Duration // time between two frames without a change
	Stall  time.Duration // time without a frame after which another node is asked
	OldAge time.Duration // age of the tables from which a node is not relied on
	Own    time.Duration // how long a node that found nobody to rely on waits before it asks again
	Reader watch.Config  // of a node that reads the store for others
	Small  watch.Config  // of the nodes of a fleet so small that each reads the store itself
	Slow   watch.Config  // of tables that may lag
}

// DefaultConfig returns the bounds that the nodes start from.
func DefaultConfig() Config {
	reader := watch.DefaultConfig()
	reader.Wait, reader.Slack = 800*time.Millisecond, 500*time.Millisecond
	slow := watch.DefaultConfig()
	slow.Wait, slow.Slack, slow.Gather = 10*time.Second, time.Second, time.Second
	return Config{
		Direct: 16, Most: 3, Settle: time.Second, Beat: 250 * time.Millisecond, Stall: 800 * time.Millisecond,
		OldAge: 1500 * time.Millisecond, Own: 3 * time.Second, Reader: reader, Small: watch.DefaultConfig(), Slow: slow,
	}
}

// Registry is where members register themselves.
type Registry interface {
	// Put writes a member's entry under its VM's name, over any earlier one.
	Put(ctx context.Context, key string, data []byte) error
}

// Node is this node's part in the mesh.
type Node struct {
	self     Member
	config   Config
	hub      *Hub
	registry Registry
	client   *http.Client
	log      logrus.FieldLogger

	mu      sync.Mutex
	members []Member
}

// New returns a node's part in the mesh, which keeps the hub's tables up to date.
func New(self Member, config Config, hub *Hub, registry Registry, client *http.Client, log logrus.FieldLogger) *Node {
	return &Node{self: self, config: config, hub: hub, registry: registry, client: client, log: log}
}

// SetMembers takes in the members as they are registered.
func (n *Node) SetMembers(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = members
}

// Members returns how many members there are, this node among them.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(len(n.members), 1)
}

// Run keeps the hub's tables up to date until ctx ends. It reads the store whenever there is no other node to rely on,
// also while it asks others, so that the loss of a reader costs no more than the time to find it out.
func (n *Node) Run(ctx context.Context) {
	var registering sync.WaitGroup
	registering.Go(func() { n.register(ctx) })
	defer registering.Wait()
	reading := n.startReading(ctx)
	defer func() { reading.stop() }()
	pause.For(ctx, n.config.Settle)
	for ctx.Err() == nil {
		if reading.small != n.isSmall() {
			reading.stop()
			reading = n.startReading(ctx)
		}
		above := n.above()
		if len(above) == 0 || !n.followAny(ctx, above, func() { reading.stop() }) {
			pause.For(ctx, n.config.Own)
			continue
		}
		reading = n.startReading(ctx)
	}
}

// above returns the members that this node asks for the tables.
func (n *Node) above() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return sources(n.members, n.self, n.config.Direct, n.config.Most)
}

// isSmall reports whether the fleet is so small that every node reads the store itself.
func (n *Node) isSmall() bool { return n.Members() <= n.config.Direct }

// register writes the own entry; nobody asks a node that could not.
func (n *Node) register(ctx context.Context) {
	const tries = 3
	if n.self.Address == "" {
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
	small bool // whether it goes by the times of a small fleet
	stop  func()
}

// startReading follows the store's tables until it is stopped.
func (n *Node) startReading(ctx context.Context) *reading {
	ctx, cancel := context.WithCancel(ctx)
	small := n.isSmall()
	var work sync.WaitGroup
	for name, t := range n.hub.tables {
		config := n.config.Reader
		if small {
			config = n.config.Small
		}
		if t.MayLag {
			config = n.config.Slow
		}
		work.Go(func() {
			watch.New(name, t.Source, config, &sink{hub: n.hub, table: name}, n.log).Run(ctx)
		})
	}
	n.log.WithField("members", n.Members()).Info("reads_store")
	return &reading{small: small, stop: func() {
		cancel()
		work.Wait()
	}}
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
	return n.takeFrames(json.NewDecoder(bufio.NewReader(res.Body)), stall, found)
}

func (n *Node) takeFrames(decoder *json.Decoder, stall *time.Timer, found func()) (relied bool, err error) {
	patience := time.Now().Add(n.config.Stall)
	for {
		var f frame
		if err := decoder.Decode(&f); err != nil {
			return relied, err
		}
		now := time.Now()
		n.hub.take(now, f)
		old := !f.Known || time.Duration(f.AgeMs)*time.Millisecond > n.config.OldAge
		if old && (relied || now.After(patience)) {
			return relied, errOld
		}
		if !old && !relied {
			relied = true
			found()
		}
		stall.Reset(n.config.Stall)
	}
}

// Handler returns the handler by which the node tells its tables to others.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, n.tell)
	return mux
}

// tell writes a frame at each change, and one now and then without.
func (n *Node) tell(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	before := toldOf(r.URL.Query())
	beat := time.NewTicker(n.config.Beat)
	defer beat.Stop()
	for {
		f, changed := n.hub.next(time.Now(), before)
		_ = control.SetWriteDeadline(time.Now().Add(n.config.Stall))
		if err := errors.Join(encoder.Encode(f), control.Flush()); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-beat.C:
		}
	}
}

// DecodeMembers returns the members of a table's rows; a row that cannot be read is left out.
func DecodeMembers(rows watch.Rows) []Member {
	return lo.FilterMap(lo.Values(rows), func(row watch.Row, _ int) (Member, bool) {
		var m Member
		err := json.Unmarshal(row.Data, &m)
		return m, err == nil && m.Address != ""
	})
}
