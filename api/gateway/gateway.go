package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Envelope holds the metadata in a request's headers.
type Envelope struct {
	ID           vaneyoke.RequestID
	APIKey       string             // key of the workspace; "" for none
	MaxWait      time.Duration      // how long the caller waits; 0 if not given
	LastEventID  string             // last event that the caller has received; "" for none
	Resumes      vaneyoke.RequestID // attempt that brought the first event to a caller who has received events; "" if not given
	PromptTokens vaneyoke.Tokens
	AnswerTokens vaneyoke.Tokens // most that the answer has; 0 if not given
	SharedTokens vaneyoke.Tokens // tokens at the start of the prompt that others may share; all of them if not given
	PromptParts  []string        // ids of the prompt's parts in order, the last one unique to it; nil if not given
	Header       http.Header     // headers forwarded to upstreams
}

// Codec decodes the metadata in request headers.
type Codec interface {
	// Decode returns a request's metadata; its errors carry CodeBadRequest.
	Decode(r *http.Request) (Envelope, error)
}

// RouteSource provides the active route table.
type RouteSource interface {
	// Routes returns the newest table, or nil if none is known yet.
	Routes() *route.Table
}

// Config holds the gateway's limits.
type Config struct {
	MaxBodyBytes int64         // largest request body if the route table sets no limit
	MaxWait      time.Duration // longest time for an answer if neither the route nor the caller sets one
	WriteTimeout time.Duration // longest time that a caller may take to read one write of its answer
}

// Gateway is the HTTP handler that forwards opaque requests to upstreams.
type Gateway struct {
	config      Config
	codec       Codec
	routeSource RouteSource
	relay       *relay.Relay
	origins     OriginFinder
	metrics     *Metrics
	log         logrus.FieldLogger
	inFlight    atomic.Int64
	stopping    atomic.Pointer[StopPlan] // nil unless the node is stopping
	stopBegun   context.Context          // done once stopping is set
	beginStop   context.CancelFunc
}

// New returns a gateway.
func New(config Config, codec Codec, routes RouteSource, r *relay.Relay, origins OriginFinder, metrics *Metrics, log logrus.FieldLogger) *Gateway {
	stopBegun, beginStop := context.WithCancel(context.Background())
	return &Gateway{
		config: config, codec: codec, routeSource: routes, relay: r, origins: origins, metrics: metrics, log: log, stopBegun: stopBegun, beginStop: beginStop,
	}
}

// InFlight returns the number of requests being answered.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Stop makes the node report that it is not ready and refuse requests that would be cut off.
func (g *Gateway) Stop(s StopPlan) {
	g.stopping.Store(&s)
	g.beginStop()
}

// Ready reports whether the node accepts new connections.
func (g *Gateway) Ready() bool { return g.stopping.Load() == nil && g.routeSource.Routes() != nil }

// ServeReadiness is the readiness probe: it answers 503 if the node accepts no new connections.
func (g *Gateway) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// call is a request as received, with the caller of its connection.
type call struct {
	http         http.ResponseWriter
	request      *http.Request // its context is cancelled when the caller disconnects
	caller       serve.Caller
	received     time.Time // when its header had come
	deadline     time.Time // when the caller stops waiting
	bodyEnd      bodyEnd
	bodyReceived time.Time     // when the last byte of its body had come; zero if it has not
	buffer       *relay.Buffer // accounts for what the node holds for the caller
	session      atomic.Pointer[relay.Session]
	isCut        atomic.Bool // whether the caller is cut off because it does not read
}

// bodyAge returns how long after the header the last byte of the body had come in milliseconds, -1 if it has not.
func (c *call) bodyAge() int64 {
	if c.bodyReceived.IsZero() {
		return -1
	}
	return c.bodyReceived.Sub(c.received).Milliseconds()
}

// cut ends what is done for a caller that does not read.
func (c *call) cut() {
	c.isCut.Store(true)
	if session := c.session.Load(); session != nil {
		session.Abandon()
	}
	_ = http.NewResponseController(c.http).SetWriteDeadline(time.Now())
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{http: w, request: r, caller: serve.CallerOf(r.Context()), received: time.Now(), bodyEnd: bodyUnread}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if len(r.TransferEncoding) > 0 { // against request smuggling: with a Content-Length too, the following bytes may be meant as body
		w.Header().Set("Connection", "close")
	}
	req, f, err := g.buildRequest(c)
	defer c.buffer.Close()
	if err != nil {
		g.refuse(c, req, err)
		return
	}
	if s := g.stopping.Load(); s != nil {
		g.metrics.AcceptedWhileStopping.Add(1)
		now := time.Now()
		g.log.WithFields(logrus.Fields{
			"request": req.ID, "stopping_ms": s.ageMilliseconds(now), "grace_left_ms": s.Deadline.Sub(now).Milliseconds(),
			"wait_ms": f.Deadline.Sub(now).Milliseconds(), "age_ms": now.Sub(c.received).Milliseconds(), "body_ms": c.bodyAge(),
			"opened_ms": now.Sub(c.caller.OpenedAt()).Milliseconds(),
		}).Info("taken_while_stopping")
	}
	session := g.relay.Forward(r.Context(), req, f)
	c.session.Store(session)
	a := &responder{call: c, writeTimeout: g.config.WriteTimeout, control: http.NewResponseController(w), session: session, stream: f.Stream}
	a.serve(r.Context())
}

// buildRequest builds the request for the relay and its forwarding parameters. It decides at the header, so that a hopeless request is refused before its
// body is sent, and anew once the body has come: meanwhile the configuration may have changed, or the node may have begun to stop.
func (g *Gateway) buildRequest(c *call) (*vaneyoke.Request, relay.Forwarding, error) {
	r := c.request
	envelope, err := g.codec.Decode(r)
	req := &vaneyoke.Request{ID: envelope.ID, ReceivedAt: c.received}
	c.caller.SetRequestID(string(req.ID))
	c.buffer = g.relay.OpenBuffer(req.ID, c.cut)
	c.deadline = c.received.Add(g.maxWait(nil, envelope.MaxWait))
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	d, err := g.decide(c.received, c, envelope)
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	c.deadline = d.deadline
	body, err := g.receiveBody(c, d)
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	if d, err = g.decide(time.Now(), c, envelope); err != nil {
		return req, relay.Forwarding{}, err
	}
	setRequestFields(req, d.route, d.workspace, envelope)
	req.Content = vaneyoke.NewContentID([]byte(d.workspace.ID), []byte(r.Method), []byte(r.Host), []byte(r.RequestURI), body)
	origin, err := g.findOrigin(c, d.route, d.workspace, envelope)
	if err != nil {
		return req, relay.Forwarding{}, err
	}
	f := newForwarding(d.table, d.route, envelope, origin)
	f.Deadline = d.deadline
	f.Buffer = c.buffer
	f.Recheck = func(now time.Time) error { return g.recheck(now, c, envelope, d, f.Service) }
	f.Message = &forward.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: envelope.Header, Body: body}
	return req, f, nil
}

// setRequestFields sets the fields that the configuration determines.
func setRequestFields(req *vaneyoke.Request, r *route.Route, workspace route.Workspace, envelope Envelope) {
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

func newForwarding(table *route.Table, r *route.Route, envelope Envelope, origin pinning.Origin) relay.Forwarding {
	service := table.Service(r.ServiceAt(rand.Float64()))
	if origin.IsKnown() {
		service = table.Service(origin.Software.Service)
	}
	return relay.Forwarding{
		Service:           service.ID,
		Stream:            r.Kind == route.KindStream,
		HealthPath:        service.HealthPath,
		Replicate:         service.Replicas && r.Kind == route.KindStream && r.Resumable,
		AnswerTokens:      envelope.AnswerTokens,
		PromptParts:       envelope.PromptParts,
		SharedTokens:      envelope.SharedTokens,
		ResumeAfter:       envelope.LastEventID,
		Resumes:           envelope.Resumes,
		Origin:            origin,
		LatencyGoal:       r.LatencyGoal,
		EventIntervalGoal: r.EventIntervalGoal,
		MaxAttempts:       r.MaxAttempts,
		ConfigRevision:    table.Version(),
	}
}

// refuse writes the error response to a request that was not sent to an upstream.
func (g *Gateway) refuse(c *call, req *vaneyoke.Request, err error) {
	code, now := vaneyoke.CodeOf(err), time.Now()
	g.metrics.countRefused(code)
	g.log.WithFields(logrus.Fields{
		"request": req.ID, "code": int(code), "host": c.request.Host, "path": c.request.URL.Path, "error": err, "body": string(c.bodyEnd),
		"retry_after_ms": vaneyoke.RetryAfterOf(err).Milliseconds(), "age_ms": now.Sub(c.received).Milliseconds(), "body_ms": c.bodyAge(),
		"opened_ms": now.Sub(c.caller.OpenedAt()).Milliseconds(), "stopping_ms": g.stopping.Load().ageMilliseconds(now),
	}).Info("request_refused")
	c.caller.ReadUntil(c.deadline)
	writeFailure(c.http, code, vaneyoke.RetryAfterOf(err), err.Error())
}

// abandonOnDisconnect abandons a session when its caller disconnects.
func abandonOnDisconnect(ctx context.Context, session *relay.Session) (stop func() bool) {
	return context.AfterFunc(ctx, session.Abandon)
}
