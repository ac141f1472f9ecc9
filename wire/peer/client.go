package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/wire/peer/peerpb"
)

const (
	bearer = "Bearer "
	// suspectTime is how long a peer that did not answer gets no further calls.
	suspectTime = time.Second
)

// Client calls other nodes; calls to this node go directly to its journals.
type Client struct {
	self     vaneyoke.NodeID
	journals *Journals
	http     *http.Client
	key      string
	timeout  time.Duration
	tracer   trace.Tracer

	mu       sync.Mutex
	peers    map[string]peerpb.Peer // by address
	suspects map[string]time.Time   // by address: no calls until then
}

// NewClient returns a client that authenticates with the given key and limits each call to timeout.
func NewClient(self vaneyoke.NodeID, journals *Journals, client *http.Client, key string, timeout time.Duration, tracer trace.Tracer) *Client {
	return &Client{
		self: self, journals: journals, http: httpcheck.Client(client), key: key, timeout: timeout, tracer: tracer,
		peers: map[string]peerpb.Peer{}, suspects: map[string]time.Time{},
	}
}

// Open registers an owner of a key at a peer, or returns the entry of the existing owner.
func (c *Client) Open(ctx context.Context, p membership.Peer, key journal.Key, entry journal.Entry) (journal.Entry, bool, error) {
	if p.VM == c.self.VM {
		existing, found := c.journals.open(key, entry)
		return existing, found, nil
	}
	in := &peerpb.OpenRequest{Key: keyToWire(key), Entry: entryToWire(entry)}
	out, err := call(ctx, c, p, peerpb.Peer.Open, in)
	if err != nil || out.GetExisting() == nil {
		return journal.Entry{}, false, err
	}
	return entryFromWire(out.GetExisting()), true, nil
}

// Push appends deltas to the journals at a peer.
func (c *Client) Push(ctx context.Context, p membership.Peer, deltas []journal.Delta) ([]journal.PushOutcome, error) {
	if p.VM == c.self.VM {
		return c.journals.push(deltas), nil
	}
	in := &peerpb.PushRequest{Sender: nodeToWire(c.self), Deltas: lo.Map(deltas, func(d journal.Delta, _ int) *peerpb.Delta { return deltaToWire(d) })}
	out, err := call(ctx, c, p, peerpb.Peer.Push, in)
	if err != nil {
		return nil, err
	}
	if len(out.GetStates()) != len(deltas) {
		return nil, vaneyoke.Err(vaneyoke.CodeInternal, "peer %s answered %d of %d deltas", p.VM, len(out.GetStates()), len(deltas))
	}
	return lo.Map(out.GetStates(), func(s peerpb.PushState, _ int) journal.PushOutcome { return journal.PushOutcome(s) }), nil
}

// TakeOver transfers a session to a new owner, and returns the state that the peer holds as its owner or in a journal.
func (c *Client) TakeOver(ctx context.Context, p membership.Peer, key journal.Key, owner vaneyoke.NodeID, fromOwner bool) (journal.Delta, bool, error) {
	if p.VM == c.self.VM {
		if fromOwner {
			return journal.Delta{}, false, nil
		}
		d, ok := c.journals.takeOver(key, owner)
		return d, ok, nil
	}
	in := &peerpb.TakeOverRequest{Key: keyToWire(key), Owner: nodeToWire(owner), FromOwner: fromOwner}
	out, err := call(ctx, c, p, peerpb.Peer.TakeOver, in)
	if err != nil || !out.GetFound() {
		return journal.Delta{}, false, err
	}
	return deltaFromWire(out.GetSession(), c.self), true, nil
}

// Confirm returns a peer's revision, and its configuration as JSON if that is wanted and newer.
func (c *Client) Confirm(ctx context.Context, p membership.Peer, revision vaneyoke.Revision, want bool) (vaneyoke.Revision, []byte, error) {
	in := &peerpb.ConfirmRequest{Revision: uint64(revision), WantSnapshot: want}
	out, err := call(ctx, c, p, peerpb.Peer.Confirm, in)
	if err != nil {
		return 0, nil, err
	}
	return vaneyoke.Revision(out.GetRevision()), out.GetSnapshot(), nil
}

// call makes one call within the client's timeout. A peer that does not answer gets no calls for suspectTime.
func call[In, Out any](ctx context.Context, c *Client, p membership.Peer, method func(peerpb.Peer, context.Context, *In) (*Out, error), in *In) (*Out, error) {
	if c.isSuspect(time.Now(), p.Address) {
		return nil, vaneyoke.Err(vaneyoke.CodeNotFresh, "peer %s did not answer a moment ago", p.VM)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "peer", trace.WithAttributes(attribute.String("peer", string(p.VM))))
	defer span.End()
	header := http.Header{"Authorization": {bearer + c.key}}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "peer header")
	}
	out, err := method(c.peer(p.Address), ctx, in)
	if err != nil {
		c.markSuspect(time.Now(), p.Address)
		return nil, vaneyoke.WrapErr(vaneyoke.CodeNotFresh, err, "peer %s", p.VM)
	}
	return out, nil
}

func (c *Client) peer(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = peerpb.NewPeerProtobufClient("http://"+address, c.http)
		c.peers[address] = p
	}
	return p
}

func (c *Client) isSuspect(now time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.suspects[address])
}

func (c *Client) markSuspect(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[address] = now.Add(suspectTime)
}
