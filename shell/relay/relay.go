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
	"github.com/vaneyoke/vaneyoke/decide/backlog"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Placer chooses upstreams and tracks what was sent to them.
type Placer interface {
	// Admit records an accepted request, which adds a fraction of a retry to the budget.
	Admit(need placement.Need)
	// Place returns an upstream and its expected time to first token, or an error with a result code. A retry counts
	// against the retry budget.
	Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error)
	// RefundRetry records that a retry never reached its upstream, so that it does not count against the budget.
	RefundRetry(need placement.Need)
	// PromptHolders returns the upstreams that may hold a prompt.
	PromptHolders(need placement.Need) []vaneyoke.Upstream
	// AffinityUpstreams returns the upstreams that should serve a prompt, in order of preference.
	AffinityUpstreams(need placement.Need) []vaneyoke.Upstream
	// SpilloverUpstreams returns upstreams to ask for their load reports if none of a prompt's affinity upstreams is
	// free.
	SpilloverUpstreams(need placement.Need) []vaneyoke.Upstream
	// HasRoom reports whether an upstream that may get a prompt has room for it, as far as upstreams report their
	// memory.
	HasRoom(need placement.Need) bool
	// Reported records the load that an upstream reported.
	Reported(id vaneyoke.UpstreamID, report vaneyoke.LoadReport)
	// PickReplica returns an upstream that can keep a replica of a run on another; ok is false if there is none.
	PickReplica(need placement.Need, primary vaneyoke.Upstream) (replica vaneyoke.Upstream, ok bool)
	// ReleaseReplica records that a replica is no longer needed.
	ReleaseReplica(replica vaneyoke.UpstreamID, need placement.Need)
	// FirstToken records how long an attempt's first token took.
	FirstToken(id vaneyoke.UpstreamID, elapsed time.Duration, promptBytes int)
	// Resumed records that an attempt was reconnected to an upstream that it had lost.
	Resumed(id vaneyoke.UpstreamID)
	// Ended records the outcome of an attempt on a placed upstream.
	Ended(id vaneyoke.UpstreamID, outcome placement.Outcome, gotFirstToken bool)
}

// RolloutPlacer is a Placer that can roll out another version of a service's upstreams.
type RolloutPlacer interface {
	// DrawCanary reports whether a new request should use the target version of its service's rollout.
	DrawCanary(service vaneyoke.ServiceID) bool
	// RecordAnswer records how an upstream answered a request of a route.
	RecordAnswer(upstream vaneyoke.Upstream, route vaneyoke.RouteID, answer rollout.Answer)
}

// StalenessChecker is a Placer whose list of upstreams may be stale.
type StalenessChecker interface {
	// MayBeStale reports whether upstreams may have been replaced without the list showing it.
	MayBeStale() bool
	// RecordReplaced records that another upstream has the address of one that was placed.
	RecordReplaced(need placement.Need, retry bool, id vaneyoke.UpstreamID)
}

// SuspicionRecorder is a Placer that learns of attempts which their upstreams do not go on with before they end.
type SuspicionRecorder interface {
	// Suspected is called at most once for an attempt that nobody has taken over; its outcome is OutcomeDropped unless it completes.
	Suspected(id vaneyoke.UpstreamID, outcome placement.Outcome)
}

// SpeedRecorder learns how fast upstreams work.
type SpeedRecorder interface {
	// RecordPace records the time between the events of a stream.
	RecordPace(upstream vaneyoke.Upstream, interval time.Duration)
	// Completed records the time from the first token of a run to its last.
	Completed(id vaneyoke.UpstreamID, need placement.Need, decodeTime time.Duration)
}

// StreamRegistry has other nodes keep which software began a stream, so that its caller can come back anywhere.
type StreamRegistry interface {
	// StreamBegun is called before a caller gets the first event of a stream from this node.
	StreamBegun(begun pinning.StreamBegun)
	// StreamEnded is called once for each StreamBegun, when the node does not serve the stream any more.
	StreamEnded(stream pinning.StreamID)
}

// ProcessTracker knows which processes of upstreams run.
type ProcessTracker interface {
	// Upstream returns a listed upstream with the latest incarnation that is known.
	Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool)
	// IsConfirmed reports whether an upstream's incarnation is known by a load report of a moment ago.
	IsConfirmed(id vaneyoke.UpstreamID) bool
	// RecordRestarted records that a placed upstream has restarted, so that its software version is not known; nothing was sent to it.
	RecordRestarted(need placement.Need, retry bool, id vaneyoke.UpstreamID)
}

// Meter measures the load of requests on upstreams.
type Meter interface {
	// CountRequest counts a request of a workspace that an upstream has started; it is called once for each request.
	CountRequest(workspace vaneyoke.WorkspaceID)
	// AddLoad adds the load of an attempt on a service's upstream.
	AddLoad(service vaneyoke.ServiceID, load capacity.Load)
}

// Relay starts sessions and tracks those that run.
type Relay struct {
	engines    *engine.Client
	sender     forward.Sender // nil if no opaque requests are served
	placer     Placer
	rollouts   RolloutPlacer     // nil if there are no rollouts
	staleness  StalenessChecker  // nil if the list of upstreams is assumed to be current
	guard      CrashGuard        // nil if crashes are not tracked
	crashes    CrashRecord       // nil if no other nodes observe crashes
	limiter    Limiter           // nil if upstreams declare no limits
	pushbacks  PushbackTracker   // nil if pushbacks are not tracked
	admitter   Admitter          // nil if prompts wait for room by themselves
	processes  ProcessTracker    // nil if upstreams are assumed not to restart
	meter      Meter             // nil if load is not measured
	speeds     SpeedRecorder     // nil if speeds are not measured
	suspicions SuspicionRecorder // nil if suspicions are not tracked
	registry   StreamRegistry    // nil if no other node keeps what began a stream
	tracer     trace.Tracer
	metrics    *Metrics
	forecasts  *forecasts
	buffers    *buffers
	log        logrus.FieldLogger
	config     Config
	ctx        context.Context // canceled when the relay is closed
	stop       context.CancelFunc
	uneventful atomic.Uint64 // number of uneventful sessions

	mu       sync.Mutex
	running  map[*Session]struct{}
	stopping bool // no session may start or continue
}

// Config holds the settings that all sessions share.
type Config struct {
	Generation         generation.Config
	CallSilence        time.Duration // silence of a service after which a call is suspect
	UneventfulLogEvery uint64        // one out of this many uneventful sessions is logged
	Buffers            backlog.Limits
	UnaryTimeout       time.Duration // longest time that an engine may take for a unary answer
}

// New returns a relay. The placer may implement further interfaces of this package.
func New(engines *engine.Client, sender forward.Sender, placer Placer, tracer trace.Tracer, metrics *Metrics, log logrus.FieldLogger, config Config) *Relay {
	config.UneventfulLogEvery = max(config.UneventfulLogEvery, 1)
	ctx, stop := context.WithCancel(context.Background())
	rollouts, _ := placer.(RolloutPlacer)
	staleness, _ := placer.(StalenessChecker)
	guard, _ := placer.(CrashGuard)
	crashes, _ := placer.(CrashRecord)
	limiter, _ := placer.(Limiter)
	pushbacks, _ := placer.(PushbackTracker)
	admitter, _ := placer.(Admitter)
	meter, _ := placer.(Meter)
	processes, _ := placer.(ProcessTracker)
	speeds, _ := placer.(SpeedRecorder)
	registry, _ := placer.(StreamRegistry)
	suspicions, _ := placer.(SuspicionRecorder)
	return &Relay{
		engines: engines, sender: sender, placer: placer, rollouts: rollouts, staleness: staleness, guard: guard, crashes: crashes, limiter: limiter, pushbacks: pushbacks,
		admitter: admitter, processes: processes, meter: meter, speeds: speeds, registry: registry, suspicions: suspicions, tracer: tracer, metrics: metrics, log: log, config: config,
		ctx: ctx, stop: stop, running: map[*Session]struct{}{}, forecasts: newForecasts(), buffers: newBuffers(config.Buffers),
	}
}

// Close drops all sessions without a result, as a crash of the process would, and logs them.
func (r *Relay) Close() {
	r.stop()
	for _, s := range r.sessions() {
		s.logDropped()
	}
}

// Interrupt ends all sessions, and those started later, with a result for their callers. It returns how many were
// running.
func (r *Relay) Interrupt() int {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	return interrupt(r.sessions())
}

// InterruptStreams ends the streams and leaves calls running. It returns how many streams were running.
func (r *Relay) InterruptStreams() int { return interrupt(r.streams()) }

// Streams returns the number of running streams.
func (r *Relay) Streams() int { return len(r.streams()) }

func (r *Relay) streams() []*Session {
	return slices.DeleteFunc(r.sessions(), func(s *Session) bool { return !s.isStream() })
}

// Suspended tells all sessions that the VM was suspended for a time that the node's clock has not counted.
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
		s.interrupt(now)
	}
	return len(sessions)
}

// interrupt ends the session because the node stops.
func (s *Session) interrupt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawUnsent(now)
	s.handleLocked(now, generation.NodeStopping{})
}

// sessions returns the sessions that have not ended.
func (r *Relay) sessions() []*Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.running))
}

// track adds a session to the running ones and reports whether it may run.
func (r *Relay) track(s *Session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[s] = struct{}{}
	return !r.stopping
}

// untrack removes a session that has ended.
func (r *Relay) untrack(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, s)
}

// Generate starts a generation; its session runs until it ends or is abandoned, even if ctx is canceled.
func (r *Relay) Generate(ctx context.Context, req *vaneyoke.Request) *Session {
	return r.GenerateInEpoch(ctx, req, 1)
}

// GenerateInEpoch is like Generate for a request that had other owners before: its runs must not have the names of theirs.
func (r *Relay) GenerateInEpoch(ctx context.Context, req *vaneyoke.Request, epoch uint64) *Session {
	need := placement.Need{Kind: vaneyoke.KindEngine, Model: req.Model, Order: req.Order, PromptBytes: req.PromptBytes}
	return r.startSession(ctx, req, need, modeOf(req), epoch)
}

func modeOf(req *vaneyoke.Request) mode {
	if req.Continuable {
		return &streaming{req: req}
	}
	engineReq := openai.NonStreamRequest(req)
	return &unary{path: engineReq.Path, body: encode(engineReq.Fields)}
}

// Call starts a call to a service that answers in one body.
func (r *Relay) Call(ctx context.Context, req *vaneyoke.Request, service vaneyoke.ServiceID, path string, body []byte) *Session {
	need := placement.Need{Kind: vaneyoke.KindService, Service: service, Order: req.Order, PromptBytes: len(body)}
	return r.startSession(ctx, req, need, &unary{path: path, body: body}, 1)
}

func (r *Relay) startSession(ctx context.Context, req *vaneyoke.Request, need placement.Need, m mode, epoch uint64) *Session {
	config := r.configOf(req, need, m)
	s := newSession(ctx, r, req, need, m, generation.New(config, newRand()))
	s.epoch = epoch
	s.pinToOrigin()
	r.metrics.Sessions.Add(1)
	if !r.track(s) {
		s.handle(time.Now(), generation.NodeStopping{})
		return s
	}
	r.placer.Admit(need)
	s.handle(time.Now(), generation.Admitted{})
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// configOf returns the configuration of a request's generation.
func (r *Relay) configOf(req *vaneyoke.Request, need placement.Need, m mode) generation.Config {
	config := r.config.Generation
	config.Repeatable = req.Repeatable
	config.Recovery = req.Recovery
	if req.MaxWait > 0 {
		config.MaxWait = req.MaxWait
	}
	switch m := m.(type) {
	case *streaming:
		config.MaxTokens = req.MaxTokens
		config.Stop = generation.Stop{Strings: req.Stop, Include: req.IncludeStop}
	case *unary:
		config.Silence.FirstToken = r.config.UnaryTimeout
		if need.Kind == vaneyoke.KindService {
			config.Silence.FirstToken = r.config.CallSilence
		}
	case *forwarded:
		m.applyTo(&config, time.Now())
	}
	return config
}
