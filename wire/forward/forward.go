package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Message is a caller's request whose path, query and body are forwarded unchanged.
type Message struct {
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header // without hop-by-hop headers and the caller's key
	Body   []byte
}

// Attempt is one attempt to send a message to an upstream.
type Attempt struct {
	Request     vaneyoke.RequestID
	Repeat      bool // whether an earlier attempt has reached an upstream
	Message     *Message
	Upstream    vaneyoke.Upstream
	Remaining   time.Duration // remaining time for the answer
	Workspace   vaneyoke.WorkspaceID
	Priority    int
	Stream      bool              // whether the answer is a stream of numbered events
	LastEventID string            // last event already received; "" for none
	Replica     vaneyoke.Upstream // upstream for a replica of the run's KV cache; the zero value for none
	FromReplica bool              // whether the upstream holds a replica of the lost run
	Memory      Memory            // accounts for the memory of the answer; nil for no account
}

// Memory accounts for the memory that an answer takes before it can be passed on.
type Memory interface {
	// Grow waits until more memory may be taken, and records it. It fails if ctx ends first.
	Grow(ctx context.Context, n int) error
	// Shrink records that memory is taken no longer.
	Shrink(n int)
}

// Kind classifies the requests that go to an upstream.
type Kind int

// The kinds of requests to an upstream.
const (
	KindFirst  Kind = iota // the first attempt of a request
	KindRepeat             // a further attempt
	KindQuery              // a query by the node itself
	NumKinds               // number of kinds
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	switch k {
	case KindFirst:
		return "first"
	case KindRepeat:
		return "repeat"
	default:
		return "question"
	}
}

// Kind returns KindFirst or KindRepeat.
func (a *Attempt) Kind() Kind {
	if a.Repeat {
		return KindRepeat
	}
	return KindFirst
}

// Dialer opens connections to upstreams.
type Dialer interface {
	// DialContext connects to an address; it bounds the time that this takes.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// DialPath connects to an address over one path.
	DialPath(ctx context.Context, path Path, address string) (net.Conn, error)
}

type remainingKey struct{}

// WithRemaining returns a context for opening a connection over which an answer is to arrive within a time.
func WithRemaining(ctx context.Context, remaining time.Duration) context.Context {
	return context.WithValue(ctx, remainingKey{}, remaining)
}

// RemainingOf returns the time of a context of WithRemaining, 0 for any other context.
func RemainingOf(ctx context.Context) time.Duration {
	remaining, _ := ctx.Value(remainingKey{}).(time.Duration) //nolint:errcheck // 0 if there is none
	return remaining
}

// DirectDialer is a Dialer that knows no paths but the node's own.
type DirectDialer struct{ *net.Dialer }

// DialPath connects to an address.
func (d DirectDialer) DialPath(ctx context.Context, _ Path, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}

// Listener is notified of requests sent to upstreams, and of the signals in their responses.
type Listener interface {
	// RecordSent records that a request is sent to an upstream.
	RecordSent(upstream vaneyoke.Upstream, kind Kind)
	// RecordSignals records the signals in the response to a request that was sent at sentAt.
	RecordSignals(upstream vaneyoke.Upstream, signals Signals, sentAt time.Time)
	// RecordMalformed records that the response to a query violates HTTP. Nothing is read from it.
	RecordMalformed(upstream vaneyoke.Upstream, err error)
}

// Signals holds what an upstream reports about itself in the header of a response.
type Signals struct {
	Limit         *vaneyoke.Limit // declared rate limit, the zero value for none; nil if the response does not mention limits
	Pushback      time.Duration   // how long it wants no further requests from this node; 0 if it does not say
	Leaving       bool            // whether it is shutting down
	Brittle       Brittleness
	InvalidHeader string // name of a header with an invalid value; "" for none
}

// Brittleness is how many rejections an upstream says that it bears.
type Brittleness struct {
	Known         bool // whether the response tells
	MaxRejections int  // in a second for want of room; 0 if the upstream is not brittle
}

// Head is the status and header of an upstream's response.
type Head struct {
	Status  int
	Header  http.Header // without hop-by-hop headers
	Framing Framing     // of its body
}

// Event is one numbered event of a stream.
type Event struct {
	ID   string
	Data []byte // the event as it is forwarded, including its terminator
}

// Response is an upstream's response while it is received. Its errors are those of package engine.
type Response interface {
	// Head returns the status and header.
	Head() Head
	// IsEventStream reports whether the response is an event stream, to be read with Next; otherwise Body reads it.
	IsEventStream() bool
	// Next returns the next complete event, or io.EOF at the end of a complete stream.
	Next() (Event, error)
	// Body returns the whole body.
	Body() ([]byte, error)
	// Close closes the connection, which also ends the run if the response is incomplete.
	Close() error
}

// GatedSender is a Sender that tells before it sends anything to an upstream.
type GatedSender interface {
	Sender
	// SendGated sends an attempt as Send does. It calls the gate once, with the path of the connection that it has opened, and sends nothing if
	// the gate returns false.
	SendGated(ctx context.Context, attempt *Attempt, gate func(Path) bool) (Response, error)
}

// Sender sends attempts and queries to upstreams; the errors of Send are those of package engine.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) (Response, error)
	// LoadReport returns the load that an upstream reports; ok is false if it does not report any.
	LoadReport(ctx context.Context, upstream vaneyoke.Upstream) (report vaneyoke.LoadReport, ok bool)
	// RunState returns the recent state of a request's run at an upstream, and how many events of its answer it has
	// produced, as asked over a path.
	RunState(ctx context.Context, upstream vaneyoke.Upstream, path Path, request vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens)
	// HoldsPrompt reports whether an upstream has all parts of a prompt in its KV cache, so that it need not be prefilled again.
	HoldsPrompt(ctx context.Context, upstream vaneyoke.Upstream, parts []string) bool
	// Identity returns the id that the upstream at an address reports on its health path; ok is false if it reports
	// none.
	Identity(ctx context.Context, address vaneyoke.Upstream, healthPath string) (id vaneyoke.UpstreamID, ok bool)
	// Probe reports whether an upstream accepts connections over a path.
	Probe(ctx context.Context, upstream vaneyoke.Upstream, path Path) bool
}
