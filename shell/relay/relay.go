package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Placer chooses upstreams and keeps account of what was sent to them.
type Placer interface {
	// Admit notes that a request was taken, which earns a share of a retry.
	Admit(need placement.Need)
	// Place returns an upstream and its expected time to the first token, or an error with a result code.
	// A retry counts against the retry budget.
	Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error)
	// Unsent notes that a retry never reached its upstream, so that it does not count against the budget.
	Unsent(need placement.Need)
	// Holders returns the upstreams that may keep a prompt.
	Holders(need placement.Need) []vaneyoke.Upstream
	// Homes returns the upstreams of which one is to get a prompt, the preferred ones first.
	Homes(need placement.Need) []vaneyoke.Upstream
	// Spares returns upstreams that can be asked for their reports because no home of a prompt is free.
	Spares(need placement.Need) []vaneyoke.Upstream
	// HasRoom reports whether an upstream that may get a prompt has room for it, as far as upstreams told of their memory.
	HasRoom(need placement.Need) bool
	// Reported notes what an upstream told of its work.
	Reported(id vaneyoke.UpstreamID, report vaneyoke.LoadReport)
	// Replica returns an upstream that can keep a replica of a run on another; ok is false where there is none.
	Replica(need placement.Need, primary vaneyoke.Upstream) (replica vaneyoke.Upstream, ok bool)
	// Released notes that a replica is needed no more.
	Released(replica vaneyoke.UpstreamID, need placement.Need)
	// FirstToken notes that an attempt's first token came after a while.
	FirstToken(id vaneyoke.UpstreamID, took time.Duration, promptBytes int)
	// Resumed notes that an attempt was attached again to an upstream that it had lost.
	Resumed(id vaneyoke.UpstreamID)
	// Ended notes how an attempt on a placed upstream came out; begun says whether its first token had come.
	Ended(id vaneyoke.UpstreamID, outcome placement.Outcome, begun bool)
}

// Trier is a Placer whose services may move to another version of their upstreams.
type Trier interface {
	// Draws reports whether a new request tries the version to which its service moves.
	Draws(service vaneyoke.ServiceID) bool
	// Answered notes how an upstream answered a request of a route.
	Answered(upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer)
}

// Doubter is a Placer whose list of upstreams may be out of date.
type Doubter interface {
	// Doubts reports whether upstreams may have been replaced without the list saying so.
	Doubts() bool
	// Replaced notes that another upstream has the address of one that was placed.
	Replaced(need placement.Need, retry bool, id vaneyoke.UpstreamID)
}

// Meter counts what requests took of upstreams.
type Meter interface {
	// Began notes that an upstream began a request of a workspace; it is called once for each request.
	Began(workspace vaneyoke.WorkspaceID)
	// Used notes what an attempt took of a service's upstream.
	Used(service vaneyoke.ServiceID, load capacity.Load)
}

// Relay starts sessions.
type Relay struct {
	engines *engine.Client
	sender  forward.Sender // nil where no opaque requests are taken
	placer  Placer
	trier   Trier   // nil where no service moves
	doubter Doubter // nil where the list of upstreams is taken for true
	guard   Guard   // nil where requests are not followed that end upstreams
	limiter Limiter // nil where upstreams name no limits
	holder  Holder  // nil where upstreams ask for nothing
	meter   Meter   // nil where nothing is counted
	tracer  trace.Tracer
	metrics *Metrics
	log     logrus.FieldLogger
	config  Config
	ctx     context.Context // ends when the relay is closed
	stop    context.CancelFunc
	plain   atomic.Uint64 // sessions of which nothing is to be told

	mu      sync.Mutex
	running map[*Session]struct{}
	over    bool // no session may begin or go on
}

// Config holds what all sessions share.
type Config struct {
	Generation  generation.Config
	CallSilence time.Duration // silence of a service that makes a call suspect
	PlainEvery  uint64        // of so many sessions that went well, one is logged
	WholeLimit  time.Duration // longest time that an engine may take for an answer that is not streamed
}

// New returns a relay.
func New(engines *engine.Client, sender forward.Sender, placer Placer, tracer trace.Tracer, metrics *Metrics, log logrus.FieldLogger, config Config) *Relay {
	config.PlainEvery = max(config.PlainEvery, 1)
	ctx, stop := context.WithCancel(context.Background())
	trier, _ := placer.(Trier)
	doubter, _ := placer.(Doubter)
	guard, _ := placer.(Guard)
	limiter, _ := placer.(Limiter)
	holder, _ := placer.(Holder)
	meter, _ := placer.(Meter)
	return &Relay{
		engines: engines, sender: sender, placer: placer, trier: trier, doubter: doubter, guard: guard, limiter: limiter, holder: holder, meter: meter, tracer: tracer, metrics: metrics, log: log, config: config,
		ctx: ctx, stop: stop, running: map[*Session]struct{}{},
	}
}

// Close drops all sessions where they stand, as the death of the process would, and tells which.
func (r *Relay) Close() {
	r.stop()
	for _, s := range r.sessions() {
		s.drop()
	}
}

// Interrupt ends all sessions where they stand, each with a result that its caller can be given, and those that would begin
// later too. It returns how many were running.
func (r *Relay) Interrupt() int {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	return interrupt(r.sessions())
}

// InterruptStreams ends the streams where they stand, and leaves calls alone. It returns how many were running.
func (r *Relay) InterruptStreams() int { return interrupt(r.streams()) }

// Streams returns how many streams run.
func (r *Relay) Streams() int { return len(r.streams()) }

func (r *Relay) streams() []*Session {
	return slices.DeleteFunc(r.sessions(), func(s *Session) bool { return !s.isStream() })
}

// Suspended tells all sessions that the VM stood still for a while that the node's clock has not counted.
func (r *Relay) Suspended(d time.Duration) {
	for _, s := range r.sessions() {
		s.suspended(time.Now(), d)
	}
}

func (s *Session) suspended(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.mode.(*forwarded); ok {
		m.Deadline = m.Deadline.Add(-d)
	}
	s.handleLocked(now, generation.Suspended{For: d})
}

func interrupt(sessions []*Session) int {
	now := time.Now()
	for _, s := range sessions {
		s.handle(now, generation.NodeStopping{})
	}
	return len(sessions)
}

// sessions returns the sessions that have not ended.
func (r *Relay) sessions() []*Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.running))
}

// follow keeps a session among those that run, and reports whether it may.
func (r *Relay) follow(s *Session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[s] = struct{}{}
	return !r.over
}

// unfollow takes a session that has ended off those that run.
func (r *Relay) unfollow(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, s)
}

// Generate starts a generation; its session runs until it ends or is abandoned, whatever becomes of ctx.
func (r *Relay) Generate(ctx context.Context, req *vaneyoke.Request) *Session {
	need := placement.Need{Kind: vaneyoke.KindEngine, Model: req.Model, Order: req.Order, PromptBytes: req.PromptBytes}
	return r.begin(ctx, req, need, modeOf(req))
}

func modeOf(req *vaneyoke.Request) mode {
	if req.Continuable {
		return &streamed{req: req}
	}
	run := openai.NonStreamRequest(req)
	return &whole{path: run.Path, body: encode(run.Fields)}
}

// Call starts a call to a plain service.
func (r *Relay) Call(ctx context.Context, req *vaneyoke.Request, service vaneyoke.ServiceID, path string, body []byte) *Session {
	need := placement.Need{Kind: vaneyoke.KindService, Service: service, Order: req.Order, PromptBytes: len(body)}
	return r.begin(ctx, req, need, &whole{path: path, body: body})
}

func (r *Relay) begin(ctx context.Context, req *vaneyoke.Request, need placement.Need, m mode) *Session {
	config := r.configOf(req, need, m)
	s := newSession(ctx, r, req, need, m, generation.New(config, newRand()))
	s.epoch = 1
	r.metrics.Sessions.Add(1)
	if !r.follow(s) {
		s.handle(time.Now(), generation.NodeStopping{})
		return s
	}
	r.placer.Admit(need)
	s.handle(time.Now(), generation.Admitted{})
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// configOf returns what a request's generation is decided by.
func (r *Relay) configOf(req *vaneyoke.Request, need placement.Need, m mode) generation.Config {
	config := r.config.Generation
	config.Repeatable = req.Repeatable
	config.Recovery = req.Recovery
	if req.MaxWait > 0 {
		config.MaxWait = req.MaxWait
	}
	switch m := m.(type) {
	case *streamed:
		config.MaxTokens = req.MaxTokens
		config.Stop = generation.Stop{Strings: req.Stop, Include: req.IncludeStop}
	case *whole:
		config.Silence.FirstToken = r.config.WholeLimit
		if need.Kind == vaneyoke.KindService {
			config.Silence.FirstToken = r.config.CallSilence
		}
	case *forwarded:
		m.decide(&config, time.Now())
	}
	return config
}
