package failover

import (
	"context"
	"crypto/sha256"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// Peers carries what a node says to the others.
type Peers interface {
	// Open reserves a key at a peer for an owner, or returns who owns it.
	Open(ctx context.Context, p membership.Peer, key journal.Key, entry journal.Entry) (journal.Entry, bool, error)
	// Push adds deltas to the journals that a peer keeps.
	Push(ctx context.Context, p membership.Peer, deltas []journal.Delta) ([]journal.PushOutcome, error)
	// TakeOver makes owner the owner of a session, and returns what the peer holds of it.
	TakeOver(ctx context.Context, p membership.Peer, key journal.Key, owner vaneyoke.NodeID, fromOwner bool) (journal.Delta, bool, error)
}

// Claims holds requests that may run at most once.
type Claims interface {
	// Hold claims a request for good; only where it returns nil may the request be run.
	Acquire(ctx context.Context, req claims.Request) error
}

// Fleet says what the node knows of the others and of the upstreams.
type Fleet interface {
	// View returns the nodes that take part.
	View() *membership.View
	// Upstream returns an upstream of the present configuration.
	Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool)
}

// Config holds the bounds of failover.
type Config struct {
	PushPeriod time.Duration // between pushes to a backup
	AckTimeout time.Duration // longest wait for a backup before another is tried
	Linger     time.Duration // how long a session runs on after its caller has gone
	Retention  time.Duration // how long a finished answer is kept
	MaxTailIDs int           // most tokens that a cursor carries
}

// Manager keeps the node's sessions whose callers may come back.
type Manager struct {
	self       vaneyoke.NodeID
	dataCentre vaneyoke.DataCentreID
	config     Config
	ring       *cursor.Keyring
	peers      Peers
	fleet      Fleet
	relay      *relay.Relay
	claims     Claims
	metrics    *Metrics
	log        logrus.FieldLogger
	kick       chan struct{} // asks for a push at once

	mu       sync.Mutex
	sessions map[journal.Key]*session
	handles  uint64 // the last number given to a session
}

// New returns a manager; Run has to be called for its journals to be pushed.
func New(self vaneyoke.NodeID, dataCentre vaneyoke.DataCentreID, config Config, ring *cursor.Keyring, peers Peers, fleet Fleet, r *relay.Relay, c Claims, metrics *Metrics, log logrus.FieldLogger) *Manager {
	return &Manager{
		self: self, dataCentre: dataCentre, config: config, ring: ring, peers: peers, fleet: fleet, relay: r, claims: c, metrics: metrics, log: log,
		kick:     make(chan struct{}, 1),
		sessions: map[journal.Key]*session{},
	}
}

// Metrics counts what failover does.
type Metrics struct {
	TakenOver  *expvar.Map // sessions taken over, by where from
	Superseded *expvar.Int // sessions that another node took over
	Lost       *expvar.Int // answers that could not be rebuilt
	Pushes     *expvar.Int
	PushBytes  *expvar.Int // token text and ids pushed
	NoBackup   *expvar.Int // sessions that had to go on without a backup
}

// NewMetrics returns counters in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{
		TakenOver: new(expvar.Map).Init(), Superseded: new(expvar.Int), Lost: new(expvar.Int),
		Pushes: new(expvar.Int), PushBytes: new(expvar.Int), NoBackup: new(expvar.Int),
	}
	vars.Set("taken_over_total", m.TakenOver)
	vars.Set("superseded_total", m.Superseded)
	vars.Set("answers_lost_total", m.Lost)
	vars.Set("journal_pushes_total", m.Pushes)
	vars.Set("journal_push_bytes_total", m.PushBytes)
	vars.Set("sessions_without_backup_total", m.NoBackup)
	return m
}

// Ask is a request whose caller may come back.
type OpenRequest struct {
	Request        *vaneyoke.Request
	Body           []byte
	IdempotencyKey string // the caller's key for the request, "" where it will not come back
	Cursor         string // the last mark that the caller holds, "" for the answer from its beginning
}

// Open starts the request, or finds the answer that was begun before.
func (m *Manager) Open(ctx context.Context, ask OpenRequest) (*Reader, error) {
	if ask.IdempotencyKey == "" {
		if ask.Cursor != "" {
			return nil, vaneyoke.ErrField(vaneyoke.CodeBadRequest, "header.Last-Event-ID", "needs an Idempotency-Key")
		}
		return &Reader{manager: m, relay: m.relay.Generate(ctx, ask.Request)}, nil
	}
	mark, err := m.readCursor(ask)
	if err != nil {
		return nil, err
	}
	key := journal.Key{Workspace: ask.Request.Workspace, Key: ask.IdempotencyKey}
	digest := ask.digest()
	if s := m.find(key); s != nil {
		return s.read(digest, mark)
	}
	s, err := m.openFleetWide(ctx, ask, key, digest, mark)
	if err != nil {
		return nil, err
	}
	return s.read(digest, mark)
}

// readCursor checks the caller's mark and that it belongs to the caller.
func (m *Manager) readCursor(ask OpenRequest) (*cursor.Cursor, error) {
	if ask.Cursor == "" {
		return nil, nil
	}
	mark, err := m.ring.Decode(ask.Cursor)
	if err != nil {
		return nil, err
	}
	if mark.Workspace != ask.Request.Workspace {
		return nil, vaneyoke.Err(vaneyoke.CodeForbidden, "the cursor belongs to another workspace")
	}
	return &mark, nil
}

// digest tells one request from another, so that a key is not used for two, nor a request that may run once for one that may run again.
func (a OpenRequest) digest() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d %t\x00", a.Request.Endpoint, a.Request.Repeatable)
	_, _ = h.Write(a.Body)
	return string(h.Sum(nil))
}

// handle returns a number that no other session of the node has.
func (m *Manager) handle() journal.Handle {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handles++
	return journal.Handle{Owner: m.self, Number: m.handles}
}

func (m *Manager) find(key journal.Key) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[key]
}

// add registers a session; where another was registered meanwhile, that one is returned.
func (m *Manager) add(s *session) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.sessions[s.key]; ok {
		return old
	}
	m.sessions[s.key] = s
	return s
}

// forget takes a session off the list; nothing of it is pushed any more.
func (m *Manager) forget(s *session) {
	m.mu.Lock()
	if m.sessions[s.key] == s {
		delete(m.sessions, s.key)
	}
	m.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	s.changed.Broadcast()
}

// HandOver ends a session on this node and returns its whole state for the next owner; a finished one is returned unchanged.
func (m *Manager) HandOver(key journal.Key, owner vaneyoke.NodeID) (journal.Delta, bool) {
	s := m.find(key)
	if s == nil {
		return journal.Delta{}, false
	}
	if s.relay.Running() {
		m.forget(s)
		m.metrics.Superseded.Add(1)
		d := s.whole(s.relay.HandOver())
		d.Entry.Owner = owner
		d.Entry.Epoch++
		m.log.WithFields(logrus.Fields{"request": d.Entry.Request, "peer": owner.VM}).Info("session_given_up")
		return d, true
	}
	return s.whole(s.relay.Save()), true
}
