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
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/api/operatorapi"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/shell/failover"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

const (
	headerTimeout  = 10 * time.Second
	drainPoll      = 50 * time.Millisecond
	stopRetryAfter = time.Second
	leaveTimeout   = 2 * time.Second
	leaveShare     = 3 // the last answers and the leave take no more than this part of the grace
	// controlWait is the longest wait for operators' and other nodes' requests; a change is confirmed or given up within three seconds.
	controlWait = 3500 * time.Millisecond
)

// The places of the servers among a node's.
const (
	callerServer = iota
	adminServer
	peerServer
)

// Node is one running entry process.
type Node struct {
	settings settings.Settings
	api      *callerapi.API
	follower *catalog.Follower
	policies *policies
	roster   *roster
	relay    *relay.Relay
	failover *failover.Manager
	claims   *claims.Claims
	operator *operatorapi.API
	control  *controlClient
	peerAPI  http.Handler
	vars     *expvar.Map
	tracing  *telemetry.Tracing
	log      logrus.FieldLogger

	stopping *atomic.Bool
	stop     context.CancelFunc
	work     sync.WaitGroup
	servers  []*serve.Server // for callers, operators and other nodes, in this order
	callerAt net.Listener
	adminAt  net.Listener
	peerAt   net.Listener
}

// Start opens the node's addresses and begins to serve.
func (n *Node) Start(ctx context.Context) error {
	if err := n.open(ctx); err != nil {
		n.closeListeners()
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.roster.readOrLog(ctx)
	n.follower.Poll(ctx)
	n.work.Go(func() { n.follower.Run(run) })
	n.work.Go(func() { watchSuspensions(run, n.relay, n.log) })
	n.work.Go(func() { n.roster.run(run) })
	n.work.Go(func() { n.policies.run(run) })
	n.work.Go(func() { n.failover.Run(run) })
	n.work.Go(func() { n.claims.Run(run) })
	n.serve(n.api.Handler(), n.callerAt)
	n.serve(n.adminHandler(), n.adminAt)
	n.serve(n.peerAPI, n.control.count(n.peerAt))
	n.log.WithFields(logrus.Fields{
		"vm": n.settings.Node.VM, "data_centre": n.settings.Node.DataCentre,
		"listen": n.callerAt.Addr(), "admin": n.adminAt.Addr(), "peer": n.peerAt.Addr(),
	}).Info("node_started")
	return nil
}

func (n *Node) open(ctx context.Context) error {
	var err error
	if n.callerAt, err = listen(ctx, n.settings.Node.Listen); err != nil {
		return err
	}
	if n.adminAt, err = listen(ctx, n.settings.Node.Admin); err != nil {
		return err
	}
	n.peerAt, err = listen(ctx, n.settings.Peers.Listen)
	return err
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callerAt, n.adminAt, n.peerAt} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	return l, vaneyoke.WrapErr(vaneyoke.CodeListen, err, "listen on %s", address)
}

func (n *Node) serve(handler http.Handler, l net.Listener) {
	server := serve.New(handler, serve.Config{ReadHeaderTimeout: headerTimeout, ErrorLog: serverErrors(n.log)})
	n.servers = append(n.servers, server)
	n.work.Go(func() {
		if err := server.Serve(l); err != nil {
			n.log.WithField("error", err).Error("server_failed")
		}
	})
}

// adminHandler serves operators, metrics and profiles.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	n.operator.Register(mux)
	registerDebug(mux, n.vars)
	return mux
}

// URL returns the address that callers use.
func (n *Node) URL() string { return "http://" + n.callerAt.Addr().String() }

// AdminURL returns the address of metrics and profiles.
func (n *Node) AdminURL() string { return "http://" + n.adminAt.Addr().String() }

// VM returns the node's entry on the list of VMs.
func (n *Node) VM() store.VM {
	return store.VM{
		ID:         vaneyoke.VMID(n.settings.Node.VM),
		DataCentre: vaneyoke.DataCentreID(n.settings.Node.DataCentre),
		Address:    n.peerAt.Addr().String(),
	}
}

// ReadVMs reads the platform's list of VMs at once.
func (n *Node) ReadVMs(ctx context.Context) { n.roster.readOrLog(ctx) }

// Revision returns the revision in force at the node.
func (n *Node) Revision() vaneyoke.Revision { return n.follower.Current().Revision }

// TakesWork reports whether the node would send an upstream new work.
func (n *Node) TakesWork(id vaneyoke.UpstreamID) bool { return n.policies.balancer.TakesWork(id) }

// Refresh reads the configuration at once.
func (n *Node) Refresh(ctx context.Context) { n.follower.Poll(ctx) }

// Reload tells that a node with the caller API takes changed settings at its next start.
func (n *Node) Reload(settings.Settings) {
	n.log.WithField("taken", false).Info("settings_reloaded")
}

// Stop refuses new requests, lets the open ones finish within the grace, and closes the node. Those that are left then get
// a last answer; callers with a key go on at another node. It returns an error where there were such.
func (n *Node) Stop(ctx context.Context) error {
	now := time.Now()
	n.stopping.Store(true)
	for _, server := range n.servers {
		server.DisableKeepAlives()
	}
	n.log.WithFields(logrus.Fields{"open": n.api.InFlight(), "grace": n.settings.Node.Grace}).Info("node_stopping")
	ctx, cancel := context.WithDeadline(ctx, now.Add(n.settings.Node.Grace))
	defer cancel()
	interrupted := n.finish(ctx, now)
	n.wrapUp(ctx)
	cut := logCutOff(n.log, n.callers(), now)
	n.Kill()
	err := told(n.log, now, interrupted, cut)
	return errors.Join(err, n.tracing.Close(context.WithoutCancel(ctx)))
}

// finish lets the callers' requests finish, but for a part of the grace, and then interrupts those that are left. It returns
// how many they were.
func (n *Node) finish(ctx context.Context, stopping time.Time) (interrupted int) {
	grace := n.settings.Node.Grace
	inTime, cancel := context.WithDeadline(ctx, stopping.Add(grace-min(leaveTimeout, grace/leaveShare)))
	defer cancel()
	finished := n.callers().WaitIdle(inTime) && waitForNone(inTime, n.api.InFlight)
	n.failover.Flush(ctx)
	if finished {
		return 0
	}
	return n.failover.Release() + n.relay.Interrupt()
}

// wrapUp does what the node owes to others than its callers, and closes its servers. Callers are told that the node stops
// until it has left the members, after which no other node sends any.
func (n *Node) wrapUp(ctx context.Context) {
	control, cancel := context.WithTimeout(ctx, controlWait)
	defer cancel()
	together(
		func() { n.keep(ctx) },
		func() { n.leave(ctx) },
		func() { n.servers[adminServer].Shutdown(control) },
	)
	together(
		func() { n.callers().Shutdown(ctx) },
		func() { n.servers[peerServer].Shutdown(control) },
	)
}

// together runs functions at once, and waits for all.
func together(all ...func()) {
	var work sync.WaitGroup
	for _, f := range all {
		work.Go(f)
	}
	work.Wait()
}

// keep waits until the answers that callers have been given are kept for those who ask again.
func (n *Node) keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if !waitForNone(ctx, n.claims.PendingSaves) {
		n.log.WithField("count", n.claims.PendingSaves()).Warn("answers_not_kept")
	}
}

// callers returns the server that callers use.
func (n *Node) callers() *serve.Server { return n.servers[callerServer] }

// waitForNone waits until no request is open, also of those that go on without their caller, and reports whether that came before ctx ended.
func waitForNone(ctx context.Context, open func() int) bool {
	for open() > 0 {
		if !pause.For(ctx, drainPoll) {
			return false
		}
	}
	return true
}

// leave takes the node off the list of members; where that fails, the others do so when the VM is gone.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.follower.Leave(ctx); err != nil {
		n.log.WithField("error", err).Warn("leave_failed")
	}
}

// Kill closes the node at once, as the death of its process would.
func (n *Node) Kill() {
	n.stop()
	n.relay.Close()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.work.Wait()
}
