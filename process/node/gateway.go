package node

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/gateway"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/quarantines"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
	"github.com/vaneyoke/vaneyoke/shell/shares"
)

const (
	countsLead            = 250 * time.Millisecond  // before the end of a drain, in which the counts so far are handed on
	lameDuckStreamDivisor = 3                       // requests that may outlast the node are accepted for at most 1/3 of the grace
	notReadyPropagation   = 2200 * time.Millisecond // time until the platform stops sending new connections to a node that is not ready
)

// GatewayNode is a running node that serves opaque requests.
type GatewayNode struct {
	settings settings.Settings // as loaded at the start
	current  atomic.Pointer[settings.Settings]
	gateway  *gateway.Gateway
	relay    *relay.Relay
	mesh     *mesh.Node
	lender   *mesh.Lender
	rollouts *rollouts.Node // nil without rollouts
	crashes  *quarantines.Node
	limits   *ratelimits.Node
	duties   *duties.Node // nil without duties
	shares   *shares.Node // nil without peers
	detours  *detours.Server
	pins     *pins.Node
	versions *pins.Versions
	active   *activeConfig
	vars     *expvar.Map
	panics   *panicRecorder
	aborts   *abortRecorder
	evicted  *evictionRecorder
	changes  *plannedChanges
	tracing  *telemetry.Tracing
	log      logrus.FieldLogger

	stop      context.CancelFunc
	tasks     sync.WaitGroup
	servers   []*serve.Server // one for each listener, in the same order
	listeners []net.Listener  // for callers, readiness, metrics and, if configured, other nodes
}

// endpoint is an address that the node listens on, with its handler.
type endpoint struct {
	name     listenerName
	address  string
	handler  http.Handler
	optional bool // whether the node starts without it
}

// Start opens the node's listeners and starts serving.
func (n *GatewayNode) Start(ctx context.Context) error {
	s := n.settings
	n.current.Store(&s)
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", n.gateway.ServeReadiness)
	endpoints := []endpoint{
		{name: atCallers, address: s.Gateway.Listen, handler: n.gateway},
		{name: atReadiness, address: s.Gateway.Readiness, handler: ready},
		{name: atAdmin, address: s.Node.Admin, handler: n.adminHandler(), optional: true},
	}
	var opened []endpoint
	if s.Gateway.Peers != "" {
		endpoints = append(endpoints, endpoint{name: atPeers, address: s.Gateway.Peers, handler: n.peerHandler()})
	}
	for _, e := range endpoints {
		l, err := listen(ctx, e.address, s.Limits.ReceiveBytes)
		if err != nil && e.optional {
			n.log.WithField("error", err).Error("listen_failed")
			continue
		}
		if err != nil {
			n.closeListeners()
			return err
		}
		n.listeners = append(n.listeners, l)
		opened = append(opened, e)
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.tasks.Go(func() { n.mesh.Run(run) })
	n.tasks.Go(func() { runPins(run, n.pins, n.mesh) })
	n.tasks.Go(func() { watchSuspensions(run, n.relay, n.log) })
	if n.rollouts != nil {
		n.tasks.Go(func() { n.rollouts.Run(run) })
	}
	if n.duties != nil {
		n.tasks.Go(func() { n.duties.Run(run) })
	}
	if n.shares != nil {
		n.tasks.Go(func() { n.shares.Run(run) })
	}
	for i, l := range n.listeners {
		n.serve(l, opened[i])
	}
	n.log.WithFields(logrus.Fields{
		"vm": s.Node.VM, "data_centre": s.Node.DataCentre, "listen": s.Gateway.Listen, "admin": s.Node.Admin,
		"build": vaneyoke.Build(), "speaks": int(feed.ProtocolCurrent), "buffer_bytes": s.Limits.MaxBufferBytes(),
	}).Info("node_started")
	return nil
}

func (n *GatewayNode) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// URL returns the base URL for callers.
func (n *GatewayNode) URL() string { return "http://" + n.listeners[0].Addr().String() }

// ReadyURL returns the URL of the readiness probe.
func (n *GatewayNode) ReadyURL() string {
	return "http://" + n.listeners[1].Addr().String() + "/readyz"
}

// AdminURL returns the base URL of the metrics, which must have been opened.
func (n *GatewayNode) AdminURL() string { return "http://" + n.listeners[2].Addr().String() }

func (n *GatewayNode) serve(l net.Listener, e endpoint) {
	s := n.settings.Gateway
	config := serve.Config{
		ReadHeaderTimeout: s.HeaderWait, IdleTimeout: s.IdleWait, MaxHeaderBytes: s.HeaderBytes, ErrorLog: serverErrors(n.log),
		ReadBufferBytes: n.settings.Limits.ReceiveBytes, WriteBufferBytes: n.settings.Limits.SocketBytes, OnPanic: n.panics.record, OnAbort: n.aborts.record, LongerTimeouts: n.active.callerTimeouts, WriteError: gateway.WriteError,
		Intake: connLimits(n.settings.Limits, e.name), OnEvict: n.evicted.of(e.name),
	}
	if e.name == atCallers {
		config.HeaderLimit = n.active.headerBytes
	}
	server := serve.New(e.handler, config)
	registerConnMetrics(n.vars, e.name, server)
	n.servers = append(n.servers, server)
	n.tasks.Go(func() {
		if err := server.Serve(l); err != nil {
			n.log.WithField("error", err).Error("server_failed")
		}
	})
}

// peerHandler returns the handler for requests of other nodes.
func (n *GatewayNode) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.mesh.Handler())
	mux.Handle("POST "+mesh.BorrowPath, n.lender)
	mux.Handle("POST "+detours.Path, n.detours)
	if n.rollouts != nil {
		mux.Handle("POST "+rollouts.Path, n.rollouts)
	}
	if n.duties != nil {
		mux.Handle("POST "+duties.Path, n.duties)
	}
	return mux
}

func (n *GatewayNode) adminHandler() http.Handler {
	mux := http.NewServeMux()
	registerDebug(mux, n.vars)
	mux.HandleFunc("GET /debug/members", n.mesh.ServeMembers)
	return mux
}

// Reload applies the changed grace and lame-duck time; all other changes need a restart.
func (n *GatewayNode) Reload(s settings.Settings) {
	n.current.Store(&s)
	n.changes.reloaded.Store(new(time.Now()))
	restart := s
	restart.Node.Grace, restart.Gateway.LameDuck = n.settings.Node.Grace, n.settings.Gateway.LameDuck
	n.log.WithFields(logrus.Fields{
		"taken": true, "grace": s.Node.Grace, "lame": s.Gateway.LameDuck, "needs_restart": restart != n.settings,
	}).Info("settings_reloaded")
}

// EnterLameDuck makes the node report that it is not ready; it keeps accepting requests that it can answer before the deadline.
func (n *GatewayNode) EnterLameDuck(now, deadline time.Time) {
	lameDuckStreams := min(n.current.Load().Gateway.LameDuckStreams, deadline.Sub(now)/lameDuckStreamDivisor)
	n.changes.stopping.Store(&now)
	n.gateway.Stop(gateway.StopPlan{Since: now, Deadline: deadline, ReroutingDelay: notReadyPropagation, LongRequestWindow: lameDuckStreams})
	n.callers().DisableKeepAlives()
	n.detours.EnterLameDuck(detours.LameDuck{Deadline: deadline, AnyUntil: now.Add(lameDuckStreams)})
}

// callers returns the server that callers use.
func (n *GatewayNode) callers() *serve.Server { return n.servers[0] }

// StopDeadline returns until when a stop that begins at the given time ends the node.
func (n *GatewayNode) StopDeadline(begins time.Time) time.Time {
	return begins.Add(n.current.Load().Node.Grace - exitReserve)
}

// Stop reports that the node is not ready, serves on for the lame-duck time, and waits up to the grace for open requests to finish.
// Requests that are still open then get a final answer with what is known about them.
func (n *GatewayNode) Stop(ctx context.Context) error {
	s := n.current.Load()
	stopping := time.Now()
	ends := n.StopDeadline(stopping)
	deadline := ends.Add(-finalAnswerTimeout)
	n.EnterLameDuck(stopping, deadline)
	if n.duties != nil {
		n.duties.ReleaseLeases()
	}
	n.log.WithFields(logrus.Fields{"open": n.gateway.InFlight(), "grace": s.Node.Grace, "lame": s.Gateway.LameDuck}).Info("node_stopping")
	pause.For(ctx, min(s.Gateway.LameDuck, deadline.Sub(stopping)))
	drained, stopWaiting := context.WithDeadline(ctx, deadline)
	var flush sync.WaitGroup
	if n.duties != nil {
		flush.Go(func() { flushCounts(ctx, drained, n.duties, ends) })
	}
	interrupted := drainServer(ctx, n.callers(), n.relay, deadline)
	n.detours.Drain(drained)
	cutOff := logCutOff(n.log, n.callers(), stopping)
	drainedAt := time.Now()
	stopWaiting()
	flush.Wait()
	n.Kill()
	err := logStopped(n.log, stopping, drainedAt, interrupted, cutOff)
	return errors.Join(err, closeTracing(ctx, n.tracing, ends))
}

// Kill closes the node immediately, as a crash of its process would.
func (n *GatewayNode) Kill() {
	for _, server := range n.servers { // first, so that callers get nothing of which other nodes cannot be told
		_ = server.Close()
	}
	n.stop()
	n.crashes.Close()
	n.limits.Close()
	n.pins.Close()
	n.versions.Close()
	n.relay.Close()
	n.detours.Close()
	n.tasks.Wait()
}

// BufferedBytes returns the bytes of bodies and unread answers that the node holds for callers.
func (n *GatewayNode) BufferedBytes() int64 { return n.relay.BufferedBytes() }
