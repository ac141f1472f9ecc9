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
	headerTimeout     = 10 * time.Second
	drainPollInterval = 50 * time.Millisecond
	stopRetryAfter    = time.Second
	leaveTimeout      = 2 * time.Second
	leaveGraceDivisor = 3 // final answers and leaving the membership take at most 1/3 of the grace
	// controlTimeout bounds the wait for requests of operators and other nodes; a change is confirmed or abandoned within three seconds.
	controlTimeout = 3500 * time.Millisecond
)

// Indexes into Node.servers.
const (
	callerServer = iota
	adminServer
	peerServer
)

// Node is a running node that serves the caller API.
type Node struct {
	settings settings.Settings
	api      *callerapi.API
	follower *catalog.Follower
	policies *policies
	vmList   *vmList
	relay    *relay.Relay
	failover *failover.Manager
	claims   *claims.Claims
	operator *operatorapi.API
	control  *controlClient
	peerAPI  http.Handler
	vars     *expvar.Map
	panics   *panicRecorder
	evicted  *evictionRecorder
	tracing  *telemetry.Tracing
	log      logrus.FieldLogger

	stopping       *atomic.Bool
	stop           context.CancelFunc
	tasks          sync.WaitGroup
	servers        []*serve.Server // indexed by callerServer, adminServer and peerServer
	callerListener net.Listener
	adminListener  net.Listener
	peerListener   net.Listener
}

// Start opens the node's listeners and starts serving.
func (n *Node) Start(ctx context.Context) error {
	if err := n.open(ctx); err != nil {
		n.closeListeners()
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stop = stop
	n.vmList.refreshOrLog(ctx)
	n.follower.Poll(ctx)
	n.tasks.Go(func() { n.follower.Run(run) })
	n.tasks.Go(func() { watchSuspensions(run, n.relay, n.log) })
	n.tasks.Go(func() { n.vmList.run(run) })
	n.tasks.Go(func() { n.policies.run(run) })
	n.tasks.Go(func() { n.failover.Run(run) })
	n.tasks.Go(func() { n.claims.Run(run) })
	n.serve(atCallers, n.api.Handler(), n.callerListener)
	n.serve(atAdmin, n.adminHandler(), n.adminListener)
	n.serve(atPeers, http.MaxBytesHandler(n.peerAPI, maxControlBytes), n.control.countListener(n.peerListener))
	n.log.WithFields(logrus.Fields{
		"vm": n.settings.Node.VM, "data_centre": n.settings.Node.DataCentre,
		"listen": n.callerListener.Addr(), "admin": n.adminListener.Addr(), "peer": n.peerListener.Addr(),
	}).Info("node_started")
	return nil
}

func (n *Node) open(ctx context.Context) error {
	var err error
	if n.callerListener, err = listen(ctx, n.settings.Node.Listen, n.settings.Limits.ReceiveBytes); err != nil {
		return err
	}
	if n.adminListener, err = listen(ctx, n.settings.Node.Admin, n.settings.Limits.ReceiveBytes); err != nil {
		return err
	}
	n.peerListener, err = listen(ctx, n.settings.Peers.Listen, n.settings.Limits.ReceiveBytes)
	return err
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callerListener, n.adminListener, n.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Node) serve(name listenerName, handler http.Handler, l net.Listener) {
	server := serve.New(handler, serve.Config{
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: n.settings.Gateway.HeaderBytes, ErrorLog: serverErrors(n.log), OnPanic: n.panics.record, WriteError: callerapi.WriteError,
		ReadBufferBytes: n.settings.Limits.ReceiveBytes, Intake: connLimits(n.settings.Limits, name), OnEvict: n.evicted.of(name),
	})
	registerConnMetrics(n.vars, name, server)
	n.servers = append(n.servers, server)
	n.tasks.Go(func() {
		if err := server.Serve(l); err != nil {
			n.log.WithField("error", err).Error("server_failed")
		}
	})
}

// adminHandler returns the handler for the operator API, metrics and profiles.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	n.operator.Register(mux)
	registerDebug(mux, n.vars)
	return mux
}

// URL returns the base URL of the caller API.
func (n *Node) URL() string { return "http://" + n.callerListener.Addr().String() }

// AdminURL returns the base URL of the operator API, metrics and profiles.
func (n *Node) AdminURL() string { return "http://" + n.adminListener.Addr().String() }

// VM returns the node's entry in the platform's list of VMs.
func (n *Node) VM() store.VM {
	return store.VM{
		ID:         vaneyoke.VMID(n.settings.Node.VM),
		DataCentre: vaneyoke.DataCentreID(n.settings.Node.DataCentre),
		Address:    n.peerListener.Addr().String(),
	}
}

// ReadVMs reads the platform's list of VMs now, without waiting for the next poll.
func (n *Node) ReadVMs(ctx context.Context) { n.vmList.refreshOrLog(ctx) }

// Revision returns the revision of the node's active configuration.
func (n *Node) Revision() vaneyoke.Revision { return n.follower.Current().Revision }

// AcceptsWork reports whether the node would send new requests to an upstream.
func (n *Node) AcceptsWork(id vaneyoke.UpstreamID) bool { return n.policies.balancer.AcceptsWork(id) }

// Refresh reads the configuration now, without waiting for the next poll.
func (n *Node) Refresh(ctx context.Context) { n.follower.Poll(ctx) }

// Reload logs that changed settings were ignored: a node with the caller API applies them only when it restarts.
func (n *Node) Reload(settings.Settings) {
	n.log.WithField("taken", false).Info("settings_reloaded")
}

// StopDeadline returns until when a stop that begins at the given time ends the node.
func (n *Node) StopDeadline(begins time.Time) time.Time {
	return begins.Add(n.settings.Node.Grace - exitReserve)
}

// Stop refuses new requests, waits up to the grace for open requests to finish, and closes the node. Requests that are still open
// then get a final answer, and callers with an idempotency key can resume at another node. It returns an error if there were any.
func (n *Node) Stop(ctx context.Context) error {
	stopping := time.Now()
	n.stopping.Store(true)
	n.api.Stop()
	for _, server := range n.servers {
		server.DisableKeepAlives()
	}
	n.log.WithFields(logrus.Fields{"open": n.api.InFlight(), "grace": n.settings.Node.Grace}).Info("node_stopping")
	ends := n.StopDeadline(stopping)
	ctx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	interrupted := n.drain(ctx, stopping)
	n.shutDown(ctx)
	cutOff := logCutOff(n.log, n.callers(), stopping)
	drainedAt := time.Now()
	n.Kill()
	err := logStopped(n.log, stopping, drainedAt, interrupted, cutOff)
	return errors.Join(err, closeTracing(ctx, n.tracing, ends))
}

// drain waits for the callers' requests to finish, reserves the last part of the grace, and then interrupts the remaining
// requests. It returns how many it interrupted.
func (n *Node) drain(ctx context.Context, stopping time.Time) (interrupted int) {
	grace := n.settings.Node.Grace
	drainCtx, cancel := context.WithDeadline(ctx, stopping.Add(grace-min(leaveTimeout, grace/leaveGraceDivisor)))
	defer cancel()
	drained := n.callers().WaitIdle(drainCtx) && waitUntilZero(drainCtx, n.api.InFlight)
	n.failover.Flush(ctx)
	if drained {
		return 0
	}
	return n.failover.Release() + n.relay.Interrupt()
}

// shutDown saves pending answers, leaves the membership and closes the servers. The caller server stays open, and answers that the
// node is stopping, until the node has left the membership; after that no other node sends callers to it.
func (n *Node) shutDown(ctx context.Context) {
	controlCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	runConcurrently(
		func() { n.waitAnswersSaved(ctx) },
		func() { n.leave(ctx) },
		func() { n.servers[adminServer].Shutdown(controlCtx) },
	)
	runConcurrently(
		func() { n.callers().Shutdown(ctx) },
		func() { n.servers[peerServer].Shutdown(controlCtx) },
	)
}

// runConcurrently runs functions concurrently and waits for all of them.
func runConcurrently(fs ...func()) {
	var work sync.WaitGroup
	for _, f := range fs {
		work.Go(f)
	}
	work.Wait()
}

// waitAnswersSaved waits until the delivered answers are stored for callers that repeat their request.
func (n *Node) waitAnswersSaved(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if !waitUntilZero(ctx, n.claims.PendingSaves) {
		n.log.WithField("count", n.claims.PendingSaves()).Warn("answers_not_kept")
	}
}

// callers returns the server that callers use.
func (n *Node) callers() *serve.Server { return n.servers[callerServer] }

// waitUntilZero polls until count returns zero, and reports whether it did before ctx ended. The count of open requests includes
// those that continue after their caller has disconnected.
func waitUntilZero(ctx context.Context, count func() int) bool {
	for count() > 0 {
		if !pause.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

// leave removes the node from the membership. If that fails, other nodes remove it once its VM is gone.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.follower.Leave(ctx); err != nil {
		n.log.WithField("error", err).Warn("leave_failed")
	}
}

// Kill closes the node immediately, as a crash of its process would.
func (n *Node) Kill() {
	for _, server := range n.servers { // first, so that callers get nothing of which other nodes cannot be told
		_ = server.Close()
	}
	n.stop()
	n.relay.Close()
	n.tasks.Wait()
}
