package failover

import (
	"context"
	"crypto/sha256"
	"expvar"
	"fmt"
	"maps"
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

// Peers makes failover calls to other nodes.
type Peers interface {
	// Open reserves a key at a peer for the owner in entry, or returns the existing entry.
	Open(ctx context.Context, p membership.Peer, key journal.Key, entry journal.Entry) (journal.Entry, bool, error)
	// Push appends deltas to the journals at a peer, and returns an outcome for each.
	Push(ctx context.Context, p membership.Peer, deltas []journal.Delta) ([]journal.PushOutcome, error)
	// TakeOver transfers a session to owner and returns it as the peer holds it: from its own session if fromOwner is set, else from its journal.
	TakeOver(ctx context.Context, p membership.Peer, key journal.Key, owner vaneyoke.NodeID, fromOwner bool) (journal.Delta, bool, error)
}

// Claims claims requests that must run at most once.
type Claims interface {
	// Acquire claims a request permanently. The request may run only if it returns nil.
	Acquire(ctx context.Context, req claims.Request) error
}

// Fleet gives access to the known nodes and upstreams.
type Fleet interface {
	// View returns the current members.
	View() *membership.View
	// Upstream returns an upstream of the current configuration.
	Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool)
}

// Config holds the limits of replication and of the retention of sessions.
type Config struct {
	PushPeriod time.Duration // between pushes to a backup
	AckTimeout time.Duration // time after which a backup that has not acknowledged is replaced
	Linger     time.Duration // how long a session keeps running without readers
	Retention  time.Duration // how long a finished answer is kept without readers
	MaxTailIDs int           // maximum number of token IDs in a cursor
}

// Manager keeps the resumable sessions of this node.
type Manager struct {
	self       vaneyoke.NodeID
	dataCentre vaneyoke.DataCentreID
	config     Config
	keyring    *cursor.Keyring
	peers      Peers
	fleet      Fleet
	relay      *relay.Relay
	claims     Claims
	metrics    *Metrics
	log        logrus.FieldLogger
	pushNow    chan struct{} // triggers a push before the period ends

	released chan struct{} // closed by Release

	mu         sync.Mutex
	sessions   map[journal.Key]*session
	givenUp    map[journal.Key]givenUp
	lastHandle uint64 // number of the latest handle
}

// New returns a Manager. Journals are pushed while Run is running.
func New(self vaneyoke.NodeID, dataCentre vaneyoke.DataCentreID, config Config, keyring *cursor.Keyring, peers Peers, fleet Fleet, r *relay.Relay, c Claims, metrics *Metrics, log logrus.FieldLogger) *Manager {
	return &Manager{
		self: self, dataCentre: dataCentre, config: config, keyring: keyring, peers: peers, fleet: fleet, relay: r, claims: c, metrics: metrics, log: log,
		pushNow:  make(chan struct{}, 1),
		released: make(chan struct{}),
		sessions: map[journal.Key]*session{},
		givenUp:  map[journal.Key]givenUp{},
	}
}

// Metrics holds the counters of failover.
type Metrics struct {
	TakenOver  *expvar.Map // sessions taken over, by source
	Superseded *expvar.Int // sessions that another node took over
	Lost       *expvar.Int // answers that could not be rebuilt
	Pushes     *expvar.Int
	PushBytes  *expvar.Int // text and token IDs
	NoBackup   *expvar.Int // times that no node was available as a backup
}

// NewMetrics returns metrics whose counters are registered in vars.
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

// OpenRequest is a request to start or to resume an answer.
type OpenRequest struct {
	Request        *vaneyoke.Request
	Body           []byte
	IdempotencyKey string // "" if the request cannot be resumed
	Cursor         string // the last cursor that the caller holds, "" to read from the beginning
}

// Open starts a request, or resumes the answer that an earlier request with the same key started.
func (m *Manager) Open(ctx context.Context, req OpenRequest) (*Reader, error) {
	if req.IdempotencyKey == "" {
		if req.Cursor != "" {
			return nil, vaneyoke.ErrField(vaneyoke.CodeBadRequest, "header.Last-Event-ID", "needs an Idempotency-Key")
		}
		return &Reader{manager: m, relay: m.relay.Generate(ctx, req.Request)}, nil
	}
	cur, err := m.decodeCursor(req)
	if err != nil {
		return nil, err
	}
	key := journal.Key{Workspace: req.Request.Workspace, Key: req.IdempotencyKey}
	digest := req.digest()
	if s := m.find(key); s != nil {
		return s.read(digest, cur)
	}
	s, err := m.openFleetWide(ctx, req, key, digest, cur)
	if err != nil {
		return nil, err
	}
	return s.read(digest, cur)
}

// decodeCursor decodes the caller's cursor and checks that it belongs to the caller's workspace. It returns nil if there is none.
func (m *Manager) decodeCursor(req OpenRequest) (*cursor.Cursor, error) {
	if req.Cursor == "" {
		return nil, nil
	}
	cur, err := m.keyring.Decode(req.Cursor)
	if err != nil {
		return nil, err
	}
	if cur.Workspace != req.Request.Workspace {
		return nil, vaneyoke.Err(vaneyoke.CodeForbidden, "the cursor belongs to another workspace")
	}
	return &cur, nil
}

// digest identifies the request. It detects a key that is used for two requests, or for a repeatable and a non-repeatable one.
func (r OpenRequest) digest() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d %t\x00", r.Request.Endpoint, r.Request.Repeatable)
	_, _ = h.Write(r.Body)
	return string(h.Sum(nil))
}

// newHandle returns a handle that is unique among the sessions of this node.
func (m *Manager) newHandle() journal.Handle {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHandle++
	return journal.Handle{Owner: m.self, Number: m.lastHandle}
}

func (m *Manager) find(key journal.Key) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[key]
}

// add registers a session and returns it. If the key is already registered, it returns the registered session instead. A session that comes after Release is
// released as well.
func (m *Manager) add(s *session) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.sessions[s.key]; ok {
		return old
	}
	s.released = m.isReleased()
	m.sessions[s.key] = s
	return s
}

// remove deletes a session from the manager. Nothing of it is pushed any more.
func (m *Manager) remove(s *session) {
	m.mu.Lock()
	if m.sessions[s.key] == s {
		delete(m.sessions, s.key)
	}
	m.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	s.changed.Broadcast()
}

// HandOver returns a session in full for its next owner. A running session ends here if another node can go on with it. If it goes on here, this node stays its
// owner in what is returned; a finished one is kept.
func (m *Manager) HandOver(key journal.Key, owner vaneyoke.NodeID) (journal.Delta, bool) {
	s := m.find(key)
	if s == nil {
		return m.handOverAgain(key, owner)
	}
	saved, ok := s.handOver()
	d := s.fullDelta(saved)
	switch {
	case ok:
		m.remove(s)
		m.metrics.Superseded.Add(1)
		d.Entry.Owner = owner
		m.log.WithFields(logrus.Fields{"request": d.Entry.Request, "peer": owner.VM}).Info("session_given_up")
	case saved.Result != nil:
		return d, saved.Result.Code != vaneyoke.CodeSuperseded
	}
	d.Entry.Epoch++ // also for a node of an earlier build, which goes on with each session that it gets
	if ok {
		m.keepGivenUp(time.Now(), key, d)
	}
	return d, true
}

// givenUp is a session as it was handed over. It is kept for a while, since the reply may be lost.
type givenUp struct {
	delta journal.Delta
	at    time.Time
}

const (
	givenUpRetention = 10 * time.Second // longer than a node asks for a session
	maxGivenUp       = 256              // sessions that are kept; others have their backup only
)

// keepGivenUp keeps a session that is handed over, if there is room.
func (m *Manager) keepGivenUp(now time.Time, key journal.Key, d journal.Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.givenUp) < maxGivenUp {
		m.givenUp[key] = givenUp{d, now}
	}
}

// handOverAgain returns a session that was handed over, if its next owner asks again.
func (m *Manager) handOverAgain(key journal.Key, owner vaneyoke.NodeID) (journal.Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.givenUp[key]
	return g.delta, ok && g.delta.Entry.Owner == owner
}

// dropGivenUp forgets the sessions that were handed over a while ago.
func (m *Manager) dropGivenUp(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.givenUp, func(_ journal.Key, g givenUp) bool { return now.Sub(g.at) > givenUpRetention })
}
