package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/wire/peer/peerpb"
)

// Sessions gives up the sessions that the node itself owns.
type Sessions interface {
	// GiveUp ends a session here and returns it whole for its next owner; a finished one is returned as it is.
	HandOver(key journal.Key, owner vaneyoke.NodeID) (journal.Delta, bool)
}

// Configuration tells which configuration is in force at the node.
type Configuration interface {
	// Answer returns the node's revision, and its configuration as JSON where that is wanted and newer than known.
	Confirm(ctx context.Context, known vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte)
}

// Journals is a journal.Store under a lock.
type Journals struct {
	mu    sync.Mutex
	store *journal.Store
}

// NewJournals returns journals in the given store.
func NewJournals(store *journal.Store) *Journals { return &Journals{store: store} }

func (j *Journals) open(key journal.Key, entry journal.Entry) (journal.Entry, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.store.Open(time.Now(), key, entry)
}

func (j *Journals) push(deltas []journal.Delta) []journal.PushOutcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	return lo.Map(deltas, func(d journal.Delta, _ int) journal.PushOutcome { return j.store.Push(now, d) })
}

func (j *Journals) takeOver(key journal.Key, owner vaneyoke.NodeID) (journal.Delta, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.store.TakeOver(time.Now(), key, owner)
}

// Bytes returns the estimated memory of the journals.
func (j *Journals) Bytes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.store.Bytes()
}

// Len returns the number of journals.
func (j *Journals) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.store.Len()
}

// Server answers the other nodes.
type Server struct {
	journals *Journals
	sessions Sessions
	config   Configuration
}

var _ peerpb.Peer = (*Server)(nil)

// Handler returns the HTTP handler of the peer API, open to holders of one of the keys.
func Handler(journals *Journals, sessions Sessions, config Configuration, keys []string, tracer trace.Tracer) http.Handler {
	api := peerpb.NewPeerServer(&Server{journals: journals, sessions: sessions, config: config})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !authorized(r, keys) {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("the peer key is wrong"))
			return
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer.Start(ctx, "peer", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		api.ServeHTTP(w, r.WithContext(ctx))
	})
}

func authorized(r *http.Request, keys []string) bool {
	shown := strings.TrimPrefix(r.Header.Get("Authorization"), bearer)
	good := false
	for _, key := range keys {
		good = subtle.ConstantTimeCompare([]byte(shown), []byte(key)) == 1 || good
	}
	return good
}

// Open reserves a caller's key for an owner, or tells who owns it.
func (s *Server) Open(_ context.Context, in *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	existing, found := s.journals.open(keyOf(in.GetKey()), entryOf(in.GetEntry()))
	if !found {
		return &peerpb.OpenReply{}, nil
	}
	return &peerpb.OpenReply{Existing: entryToWire(existing)}, nil
}

// Push adds to the journals that this node keeps for others.
func (s *Server) Push(_ context.Context, in *peerpb.PushRequest) (*peerpb.PushReply, error) {
	sender := nodeOf(in.GetSender())
	deltas := lo.Map(in.GetDeltas(), func(d *peerpb.Delta, _ int) journal.Delta { return deltaOf(d, sender) })
	states := s.journals.push(deltas)
	return &peerpb.PushReply{States: lo.Map(states, func(p journal.PushOutcome, _ int) peerpb.PushState {
		return peerpb.PushState(p)
	})}, nil
}

// Confirm tells which configuration is in force here.
func (s *Server) Confirm(ctx context.Context, in *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	revision, snapshot := s.config.Confirm(ctx, vaneyoke.Revision(in.GetRevision()), in.GetWantSnapshot())
	return &peerpb.ConfirmReply{Revision: uint64(revision), Snapshot: snapshot}, nil
}

// TakeOver makes the sender the owner of a session.
func (s *Server) TakeOver(_ context.Context, in *peerpb.TakeOverRequest) (*peerpb.TakeOverReply, error) {
	take := s.journals.takeOver
	if in.GetFromOwner() {
		take = s.sessions.HandOver
	}
	d, ok := take(keyOf(in.GetKey()), nodeOf(in.GetOwner()))
	if !ok {
		return &peerpb.TakeOverReply{}, nil
	}
	return &peerpb.TakeOverReply{Found: true, Session: deltaToWire(d)}, nil
}
