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
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/quarantines"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
)

const (
	stopMargin    = 300 * time.Millisecond  // of the grace, to answer what is still open and to write out the log
	earlyShare    = 3                       // requests that may last longer than the node are taken for no more than this part of the grace
	notReadyKnown = 2200 * time.Millisecond // after which the platform sends no new connections to a node that is not ready
)

// GatewayNode is a running process that takes opaque requests.
type GatewayNode struct {
	settings  settings.Settings // as of the start
	current   atomic.Pointer[settings.Settings]
	gateway   *gateway.Gateway
	relay     *relay.Relay
	mesh      *mesh.Node
	lender    *mesh.Lender
	rollouts  *rollouts.Node // nil where there are no roll-outs
	crashes   *quarantines.Node
	limits    *ratelimits.Node
	duties    *duties.Node // nil where there are none
	directory *routes
	vars      *expvar.Map
	tracing   *telemetry.Tracing
	log       logrus.FieldLogger

	stop      context.CancelFunc
	work      sync.WaitGroup
	servers   []*serve.Server // of the listeners, in their order
	listeners []net.Listener  // for callers, readiness, metrics and, where there are any, other nodes
}

// port is an address that the node listens on.
type port struct {
	address string
	handler http.Handler
	spare   bool // whether the node serves without it
}

// Start opens the node's addresses and begins to serve.
func (n *GatewayNode) Start(ctx context.Context) error {
	s := n.settings
	n.current.Store(&s)
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", n.gateway.ServeReadiness)
	ports := []port{
		{address: s.Gateway.Listen, handler: n.gateway},
		{address: s.Gateway.Readiness, handler: ready},
		{address: s.Node.Admin, handler: n.metrics(), spare: true},
	}
	var handlers []http.Handler
	if s.Gateway.Peers != "" {
		ports = append(ports, port{address: s.Gateway.Peers, handler: n.peers()})
	}
	for _, p := range ports {
		l, err := listen(ctx, p.address)
		if err != nil && p.spare {
			n.log.WithField("error", err).Error("listen_failed")
			continue
		}
		if err != nil {
			n.closeListeners()
			return err
		}
		n.listeners = append(n.listeners, l)
		handlers = append(handlers, p.handler)
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.work.Go(func() { n.mesh.Run(run) })
	n.work.Go(func() { watchSuspensions(run, n.relay, n.log) })
	if n.rollouts != nil {
		n.work.Go(func() { n.rollouts.Run(run) })
	}
	if n.duties != nil {
		n.work.Go(func() { n.duties.Run(run) })
	}
	for i, l := range n.listeners {
		n.serve(l, handlers[i])
	}
	n.log.WithFields(logrus.Fields{
		"vm": s.Node.VM, "data_centre": s.Node.DataCentre, "listen": s.Gateway.Listen, "admin": s.Node.Admin,
		"build": vaneyoke.Build(), "speaks": int(feed.ProtocolCurrent),
	}).Info("node_started")
	return nil
}

func (n *GatewayNode) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// URL returns the address that callers use.
func (n *GatewayNode) URL() string { return "http://" + n.listeners[0].Addr().String() }

// ReadyURL returns the address at which the node tells whether it takes new connections.
func (n *GatewayNode) ReadyURL() string {
	return "http://" + n.listeners[1].Addr().String() + "/readyz"
}

func (n *GatewayNode) serve(l net.Listener, handler http.Handler) {
	s := n.settings.Gateway
	server := serve.New(handler, serve.Config{
		ReadHeaderTimeout: s.HeaderWait, IdleTimeout: s.IdleWait, MaxHeaderBytes: s.HeaderBytes, ErrorLog: serverErrors(n.log),
	})
	n.servers = append(n.servers, server)
	n.work.Go(func() {
		if err := server.Serve(l); err != nil {
			n.log.WithField("error", err).Error("server_failed")
		}
	})
}

// peers returns what other nodes may ask for.
func (n *GatewayNode) peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.mesh.Handler())
	mux.Handle("POST "+mesh.BorrowPath, n.lender)
	if n.rollouts != nil {
		mux.Handle("POST "+rollouts.Path, n.rollouts)
	}
	if n.duties != nil {
		mux.Handle("POST "+duties.Path, n.duties)
	}
	return mux
}

func (n *GatewayNode) metrics() http.Handler {
	mux := http.NewServeMux()
	registerDebug(mux, n.vars)
	mux.HandleFunc("GET /debug/members", n.mesh.ServeMembers)
	return mux
}

// Reload takes in how long the node may take to stop; all else holds from the next start.
func (n *GatewayNode) Reload(s settings.Settings) {
	n.current.Store(&s)
	restart := s
	restart.Node.Grace, restart.Gateway.Lame = n.settings.Node.Grace, n.settings.Gateway.Lame
	n.log.WithFields(logrus.Fields{
		"taken": true, "grace": s.Node.Grace, "lame": s.Gateway.Lame, "needs_restart": restart != n.settings,
	}).Info("settings_reloaded")
}

// StopTaking tells callers that the node is not ready; it goes on to take what it can answer until it ends.
func (n *GatewayNode) StopTaking(now, until time.Time) {
	early := min(n.current.Load().Gateway.LameStreams, until.Sub(now)/earlyShare)
	n.gateway.Stop(gateway.StopPlan{Since: now, Deadline: until, ReroutingDelay: notReadyKnown, LongRequestWindow: early})
	n.callers().DisableKeepAlives()
}

// callers returns the server that callers use.
func (n *GatewayNode) callers() *serve.Server { return n.servers[0] }

// Stop tells that the node is not ready, serves on for a while, and lets the open requests finish within the grace; those
// that are left then get a last answer that says what is known of them.
func (n *GatewayNode) Stop(ctx context.Context) error {
	s := n.current.Load()
	grace := s.Node.Grace - stopMargin
	now := time.Now()
	until := now.Add(grace)
	n.StopTaking(now, until)
	if n.duties != nil {
		n.duties.ReleaseLeases()
	}
	n.log.WithFields(logrus.Fields{"open": n.gateway.InFlight(), "grace": s.Node.Grace, "lame": s.Gateway.Lame}).Info("node_stopping")
	pause.For(ctx, min(s.Gateway.Lame, grace))
	interrupted := finish(ctx, n.callers(), n.relay, until)
	cut := logCutOff(n.log, n.callers(), now)
	if n.duties != nil {
		n.duties.Flush(ctx)
	}
	n.Kill()
	err := told(n.log, now, interrupted, cut)
	return errors.Join(err, n.tracing.Close(context.WithoutCancel(ctx)))
}

// Kill closes the node at once, as the death of its process would.
func (n *GatewayNode) Kill() {
	n.stop()
	n.crashes.Close()
	n.limits.Close()
	n.relay.Close()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.work.Wait()
}
