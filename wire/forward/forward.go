package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Message is a caller's request whose path, query and body are passed on as they are.
type Message struct {
	Method string
	Target string // path and query as the caller wrote them
	Host   string
	Header http.Header // without what pertains to one connection or to the caller's key
	Body   []byte
}

// Attempt is one sending of a message to an upstream.
type Attempt struct {
	Request     vaneyoke.RequestID
	Repeat      bool // whether an earlier one of the request has reached an upstream
	Message     *Message
	Upstream    vaneyoke.Upstream
	Remaining   time.Duration // what is left of the caller's time
	Workspace   vaneyoke.WorkspaceID
	Priority    int
	Stream      bool              // whether the answer is a series of numbered events
	LastEventID string            // id of the last event that is held; "" for none
	Replica     vaneyoke.Upstream // upstream that is to keep a replica of the run's memory; the zero value for none
	FromReplica bool              // whether the upstream holds a replica of the run that was lost
}

// Kind is a kind of message to an upstream.
type Kind int

// The kinds of message to an upstream.
const (
	KindFirst  Kind = iota // the first attempt of a request
	KindRepeat             // a further one
	KindQuery              // something of its own that the node wants to know
	NumKinds               // how many there are
)

// String names the kind as it stands in metrics.
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

// Kind returns the kind of message that the attempt is.
func (a *Attempt) Kind() Kind {
	if a.Repeat {
		return KindRepeat
	}
	return KindFirst
}

// Listener learns what goes to upstreams, and what they say of themselves beside their answers.
type Listener interface {
	// Sending notes that something goes to an upstream.
	RecordSent(upstream vaneyoke.Upstream, kind Kind)
	// Answered notes what an upstream said of itself in its answer to something that was sent at a time.
	RecordSignals(upstream vaneyoke.Upstream, signals Signals, sentAt time.Time)
}

// Signals is what an upstream says of itself in the head of an answer.
type Signals struct {
	Limit         *vaneyoke.Limit // that it names, the zero value where it names none; nil where the answer says nothing of limits
	Pushback      time.Duration   // for which it wants nothing more from this node; 0 where it does not say
	Leaving       bool            // whether it is about to end
	InvalidHeader string          // name of a header whose value means nothing; "" for none
}

// Head is the start of an upstream's answer.
type Head struct {
	Status int
	Header http.Header // without what pertains to one connection only
}

// Event is one numbered event of an answer.
type Event struct {
	ID   string
	Data []byte // the event as it is passed on, its end included
}

// Exchange is an upstream's answer as it comes in. Its errors are those of package engine.
type Response interface {
	// Head returns the start of the answer.
	Head() Head
	// Events reports whether the answer is a series of events; otherwise Body reads it.
	IsEventStream() bool
	// Next returns the next whole event, or io.EOF at the end of an answer that is complete.
	Next() (Event, error)
	// Body returns the whole body.
	Body() ([]byte, error)
	// Close ends the connection, and with it the run of an answer that is not complete.
	Close() error
}

// Sender sends attempts; the errors of Send are those of package engine.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) (Response, error)
	// Report returns what an upstream tells of its work; ok is false where it does not say.
	LoadReport(ctx context.Context, upstream vaneyoke.Upstream) (report vaneyoke.LoadReport, ok bool)
	// Work returns what an upstream does for a request, as of a short while ago, and how many pieces of its answer it has
	// made.
	RunState(ctx context.Context, upstream vaneyoke.Upstream, request vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens)
	// Holds reports whether an upstream keeps all parts of a prompt, so that it need not be read again there.
	HoldsPrompt(ctx context.Context, upstream vaneyoke.Upstream, parts []string) bool
	// Identity returns the id of the upstream that has an address, by what it answers on its health path; ok is false where it
	// does not say.
	Identity(ctx context.Context, address vaneyoke.Upstream, healthPath string) (id vaneyoke.UpstreamID, ok bool)
	// Probe reports whether an upstream takes connections.
	Probe(ctx context.Context, upstream vaneyoke.Upstream) bool
}
