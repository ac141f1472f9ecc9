package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Envelope is what a request's headers say.
type Envelope struct {
	ID           vaneyoke.RequestID
	APIKey       string        // of the workspace; "" for none
	MaxWait      time.Duration // how long the caller waits; 0 where it does not say
	LastEventID  string        // id of the last event that the caller holds; "" for none
	PromptTokens vaneyoke.Tokens
	PromptParts  []string    // of the prompt in order, the last its own; nil where the request does not say
	Header       http.Header // what is passed on to upstreams
}

// Codec reads the headers by which callers say what they want.
type Codec interface {
	// Decode returns what a request says; an error carries CodeBadRequest.
	Decode(r *http.Request) (Envelope, error)
}

// Directory knows the configuration in force.
type RouteSource interface {
	// Routes returns the newest table; nil where none is known yet.
	Routes() *route.Table
}

// Config holds the gateway's bounds.
type Config struct {
	MaxBodyBytes int64         // largest body where the configuration names no bound
	MaxWait      time.Duration // longest time for an answer where neither the route nor the caller names one
	WriteTimeout time.Duration // longest time that a caller may take to read a piece of its answer
}

// Gateway serves callers of opaque requests.
type Gateway struct {
	config    Config
	codec     Codec
	directory RouteSource
	relay     *relay.Relay
	metrics   *Metrics
	log       logrus.FieldLogger
	open      atomic.Int64
	stopping  atomic.Pointer[StopPlan] // nil while it does not stop
}

// New returns a gateway.
func New(config Config, codec Codec, directory RouteSource, r *relay.Relay, metrics *Metrics, log logrus.FieldLogger) *Gateway {
	return &Gateway{config: config, codec: codec, directory: directory, relay: r, metrics: metrics, log: log}
}

// Open returns the number of requests being answered.
func (g *Gateway) InFlight() int { return int(g.open.Load()) }

// Stop has the node say that it is not ready, and refuses requests that would be cut off.
func (g *Gateway) Stop(s StopPlan) { g.stopping.Store(&s) }

// Ready reports whether the node takes new connections.
func (g *Gateway) Ready() bool { return g.stopping.Load() == nil && g.directory.Routes() != nil }

// ServeReadiness answers whether the node takes new connections.
func (g *Gateway) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// call is a request as it came to the door, where what its connection knows of its caller is read.
type call struct {
	http     http.ResponseWriter
	request  *http.Request // its context ends when the caller has left
	caller   serve.Caller
	received time.Time
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{http: w, request: r, caller: serve.CallerOf(r.Context()), received: time.Now()}
	g.open.Add(1)
	defer g.open.Add(-1)
	if len(r.TransferEncoding) > 0 { // what follows may have been meant as a part of the body, where a length was given too
		w.Header().Set("Connection", "close")
	}
	req, f, err := g.read(c)
	if err != nil {
		g.refuse(c, req, err)
		return
	}
	if s := g.stopping.Load(); s != nil {
		g.metrics.AcceptedWhileStopping.Add(1)
		g.log.WithFields(logrus.Fields{
			"request": req.ID, "stopping_ms": c.received.Sub(s.Since).Milliseconds(), "grace_left_ms": s.Deadline.Sub(c.received).Milliseconds(),
			"wait_ms": f.Deadline.Sub(c.received).Milliseconds(), "opened_ms": c.received.Sub(c.caller.OpenedAt()).Milliseconds(),
		}).Info("taken_while_stopping")
	}
	session := g.relay.Forward(r.Context(), req, f)
	a := &answer{call: c, writeTimeout: g.config.WriteTimeout, control: http.NewResponseController(w), session: session, stream: f.Stream}
	a.give(r.Context())
}

// read turns a request into what is sent to upstreams.
func (g *Gateway) read(c *call) (*vaneyoke.Request, relay.Forwarding, error) {
	r := c.request
	envelope, err := g.codec.Decode(r)
	req := &vaneyoke.Request{ID: envelope.ID, ReceivedAt: c.received}
	c.caller.SetRequestID(string(req.ID))
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	table := g.directory.Routes()
	if table == nil {
		return req, relay.Forwarding{}, vaneyoke.ErrRetryAfter(vaneyoke.CodeNotFresh, retryLater(envelope.MaxWait, rand.Float64()), "no configuration is known yet")
	}
	found, ok := table.Find(r.Host, r.URL.Path)
	if !ok {
		return req, relay.Forwarding{}, vaneyoke.Err(vaneyoke.CodeNotFound, "no route for %s%s", r.Host, r.URL.Path)
	}
	workspace, err := table.Workspace(found, envelope.APIKey)
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	longest := g.longest(found, envelope.MaxWait)
	a := arrival{
		at: c.received, opened: c.caller.OpenedAt(), needs: needed(found, longest),
		stream: found.Kind == route.KindStream, resumable: found.Repeatable(),
	}
	if after, refused := g.stopping.Load().refusal(a); refused {
		return req, relay.Forwarding{}, vaneyoke.ErrRetryAfter(vaneyoke.CodeStopping, after, "the node is stopping")
	}
	body, err := g.readBody(c, table.Limits(), c.received.Add(longest))
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	fill(req, found, workspace, envelope)
	req.Content = vaneyoke.NewContentID([]byte(workspace.ID), []byte(r.Method), []byte(r.Host), []byte(r.RequestURI), body)
	f := forwardingOf(table, found, envelope)
	f.Deadline = c.received.Add(longest)
	f.Message = &forward.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: envelope.Header, Body: body}
	return req, f, nil
}

// fill adds what the configuration says of a request.
func fill(req *vaneyoke.Request, r *route.Route, workspace route.Workspace, envelope Envelope) {
	req.Workspace = workspace.ID
	req.Kind = string(r.ID)
	req.Repeatable = r.Repeatable()
	req.Recovery = vaneyoke.RecoverFast
	req.PromptBytes = int(envelope.PromptTokens)
	req.Priority = r.Priority
	if workspace.Priority != nil {
		req.Priority = *workspace.Priority
	}
}

func forwardingOf(table *route.Table, r *route.Route, envelope Envelope) relay.Forwarding {
	service := table.Service(r.ServiceAt(rand.Float64()))
	return relay.Forwarding{
		Service:           service.ID,
		Stream:            r.Kind == route.KindStream,
		HealthPath:        service.HealthPath,
		Replicate:         service.Replicas && r.Kind == route.KindStream && r.Resumable,
		PromptParts:       envelope.PromptParts,
		ResumeAfter:       envelope.LastEventID,
		LatencyGoal:       r.LatencyGoal,
		EventIntervalGoal: r.EventIntervalGoal,
		MaxAttempts:       r.MaxAttempts,
		ConfigRevision:    table.Version(),
	}
}

// needed returns how long a node must still run to take a request whose answer may take so long at the most. A call that may
// be repeated is as well off with a failure as with a refusal, so that it is taken where it is likely to be answered.
func needed(r *route.Route, longest time.Duration) time.Duration {
	if suspect := relay.SuspectAfter(r.LatencyGoal); r.Kind == route.KindRepeatable && suspect > 0 {
		return min(longest, suspect)
	}
	return longest
}

// longest returns how long a request may be held.
func (g *Gateway) longest(r *route.Route, wait time.Duration) time.Duration {
	longest := g.config.MaxWait
	if r.Timeout > 0 {
		longest = r.Timeout
	}
	if wait > 0 {
		longest = min(longest, wait)
	}
	return longest
}

// readBody returns the whole body, which has to come before the answer is due; an error carries CodeBodyTooLarge,
// CodeWaitExceeded or CodeBadRequest.
func (g *Gateway) readBody(c *call, limits route.Limits, deadline time.Time) ([]byte, error) {
	most := g.config.MaxBodyBytes
	if limits.BodyBytes > 0 {
		most = limits.BodyBytes
	}
	if c.request.ContentLength > most {
		return nil, vaneyoke.Err(vaneyoke.CodeBodyTooLarge, "the body is larger than %d bytes", most)
	}
	control := http.NewResponseController(c.http)
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(c.http, c.request.Body, most))
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, vaneyoke.Err(vaneyoke.CodeBodyTooLarge, "the body is larger than %d bytes", most)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, vaneyoke.ErrRetryAfter(vaneyoke.CodeWaitExceeded, retryUnknown, "the body did not come within the time for the answer")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, vaneyoke.WrapErr(vaneyoke.CodeBadRequest, err, "read body")
}

// refuse answers a request that was sent to no upstream.
func (g *Gateway) refuse(c *call, req *vaneyoke.Request, err error) {
	code := vaneyoke.CodeOf(err)
	g.metrics.refused(code)
	g.log.WithFields(logrus.Fields{
		"request": req.ID, "code": int(code), "host": c.request.Host, "path": c.request.URL.Path, "error": err,
		"retry_after_ms": vaneyoke.RetryAfterOf(err).Milliseconds(), "opened_ms": time.Since(c.caller.OpenedAt()).Milliseconds(),
	}).Info("request_refused")
	writeFailure(c.http, statusOf(code), vaneyoke.RetryAfterOf(err), err.Error())
}

// watchCaller abandons a session whose caller has left.
func watchCaller(ctx context.Context, session *relay.Session) (stop func() bool) {
	return context.AfterFunc(ctx, session.Abandon)
}
