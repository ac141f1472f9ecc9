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

// Sessions hands over the sessions that this node owns.
type Sessions interface {
	// HandOver returns a session in full for its next owner. A running session ends on this node if another one can go on with it; otherwise this node stays its
	// owner in what is returned.
	HandOver(key journal.Key, owner vaneyoke.NodeID) (journal.Delta, bool)
}

// Configuration provides the node's active configuration.
type Configuration interface {
	// Confirm returns the node's revision, and its configuration as JSON if that is wanted and newer than known.
	Confirm(ctx context.Context, known vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte)
}

// Journals is a journal.Store that is safe for concurrent use.
type Journals struct {
	mu    sync.Mutex
	store *journal.Store
}

// NewJournals returns Journals over the given store.
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

// Bytes returns the estimated memory use of the journals.
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

// Server implements the peer API.
type Server struct {
	journals *Journals
	sessions Sessions
	config   Configuration
}

var _ peerpb.Peer = (*Server)(nil)

// Handler returns the HTTP handler of the peer API, which accepts any of the given keys.
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
	presented := strings.TrimPrefix(r.Header.Get("Authorization"), bearer)
	valid := false
	for _, key := range keys {
		valid = subtle.ConstantTimeCompare([]byte(presented), []byte(key)) == 1 || valid
	}
	return valid
}

// Open registers an owner of a caller's key, or returns the entry of the existing owner.
func (s *Server) Open(_ context.Context, in *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	existing, found := s.journals.open(keyFromWire(in.GetKey()), entryFromWire(in.GetEntry()))
	if !found {
		return &peerpb.OpenReply{}, nil
	}
	return &peerpb.OpenReply{Existing: entryToWire(existing)}, nil
}

// Push appends deltas to the journals that this node holds for others.
func (s *Server) Push(_ context.Context, in *peerpb.PushRequest) (*peerpb.PushReply, error) {
	sender := nodeFromWire(in.GetSender())
	deltas := lo.Map(in.GetDeltas(), func(d *peerpb.Delta, _ int) journal.Delta { return deltaFromWire(d, sender) })
	states := s.journals.push(deltas)
	return &peerpb.PushReply{States: lo.Map(states, func(p journal.PushOutcome, _ int) peerpb.PushState {
		return peerpb.PushState(p)
	})}, nil
}

// Confirm returns the revision of this node's active configuration.
func (s *Server) Confirm(ctx context.Context, in *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	revision, snapshot := s.config.Confirm(ctx, vaneyoke.Revision(in.GetRevision()), in.GetWantSnapshot())
	return &peerpb.ConfirmReply{Revision: uint64(revision), Snapshot: snapshot}, nil
}

// TakeOver transfers a session to the owner in the request.
func (s *Server) TakeOver(_ context.Context, in *peerpb.TakeOverRequest) (*peerpb.TakeOverReply, error) {
	take := s.journals.takeOver
	if in.GetFromOwner() {
		take = s.sessions.HandOver
	}
	d, ok := take(keyFromWire(in.GetKey()), nodeFromWire(in.GetOwner()))
	if !ok {
		return &peerpb.TakeOverReply{}, nil
	}
	return &peerpb.TakeOverReply{Found: true, Session: deltaToWire(d)}, nil
}
