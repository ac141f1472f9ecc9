package detours

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const (
	logInterval   = time.Second            // minimum time between two log lines on failed connection attempts to the same address
	directTimeout = 150 * time.Millisecond // bound of a direct attempt that goes on after its caller has a connection
)

// NetDialer opens connections; net.Dialer is one.
type NetDialer interface {
	// DialContext connects to an address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer connects this node to upstreams.
type Dialer struct {
	self    vaneyoke.VMID
	direct  NetDialer
	metrics *Metrics
	log     logrus.FieldLogger

	mu        sync.Mutex
	state     *overlay.State
	helpers   map[vaneyoke.VMID]feed.Member  // nodes that offer detours
	upstreams map[string]vaneyoke.UpstreamID // by address
	loggedAt  map[string]time.Time           // when a failure was last logged, by address
}

// NewDialer returns the dialer of a node, whose own connections are opened by direct.
func NewDialer(self vaneyoke.VMID, state *overlay.State, direct NetDialer, metrics *Metrics, log logrus.FieldLogger) *Dialer {
	return &Dialer{
		self: self, direct: direct, metrics: metrics, log: log, state: state,
		upstreams: map[string]vaneyoke.UpstreamID{}, loggedAt: map[string]time.Time{},
	}
}

// SetUpstreams sets the listed upstreams by their addresses.
func (d *Dialer) SetUpstreams(upstreams map[string]vaneyoke.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = upstreams
}

// SetMembers sets the nodes of the fleet, of which those that offer detours are used.
func (d *Dialer) SetMembers(members []feed.Member) {
	helpers := lo.Filter(members, func(m feed.Member, _ int) bool {
		return m.VM != d.self && m.Address != "" && m.Protocol >= feed.ProtocolDetours
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers = lo.KeyBy(helpers, func(m feed.Member) vaneyoke.VMID { return m.VM })
	d.state.SetCandidates(lo.Map(helpers, func(m feed.Member, _ int) overlay.Candidate {
		return overlay.Candidate{VM: m.VM, DataCentre: m.DataCentre}
	}))
}

// Summary counts the paths to upstreams by their state.
func (d *Dialer) Summary() overlay.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Summary(time.Now())
}

// DialContext connects to an upstream's address over the node's own path or a detour. Its error is an engine.UnconfirmedError if other nodes may
// reach the upstream.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	plan, hasHelpers := d.state.Plan(time.Now(), address), d.state.HasHelpers()
	d.mu.Unlock()
	if !hasHelpers {
		return d.dialDirect(ctx, network, address)
	}
	conn, err := d.race(ctx, network, address, plan)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.state.NoneConnected(now, address)
	if !d.state.IsDown(now, address) {
		return nil, &engine.UnconfirmedError{Err: err}
	}
	return nil, err
}

// DialPath connects to an upstream's address over one path.
func (d *Dialer) DialPath(ctx context.Context, path forward.Path, address string) (net.Conn, error) {
	helper, isDetour := path.Helper()
	switch {
	case path == forward.AnyPath:
		return d.DialContext(ctx, "tcp", address)
	case isDetour:
		return d.dialDetour(ctx, overlay.Way{Helper: helper}, address)
	default:
		return d.dialDirect(ctx, "tcp", address)
	}
}

// HasHelpers reports whether any other node offers detours.
func (d *Dialer) HasHelpers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.HasHelpers()
}

// IsOwnPathLost reports whether this node cannot connect to an address over its own path although other nodes may be able to. It tries to, unless
// the upstream is known to be down.
func (d *Dialer) IsOwnPathLost(ctx context.Context, address string) bool {
	d.mu.Lock()
	isDown := d.state.IsDown(time.Now(), address)
	d.mu.Unlock()
	if isDown {
		return false
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		_, unconfirmed := errors.AsType[*engine.UnconfirmedError](err)
		return unconfirmed
	}
	_ = conn.Close()
	return forward.PathOf(conn) != forward.DirectPath
}

// dialDirect connects over the node's own path, and records the outcome.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	conn, err := d.direct.DialContext(ctx, network, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) { // says nothing about the path
		return nil, err
	}
	d.metrics.dials.Add("direct "+causeOf(err), 1)
	d.recordDirect(began, address, err)
	if err != nil {
		return nil, err
	}
	return &directConn{Conn: conn}, nil
}

// recordDirect records the outcome of a direct connection attempt, and logs a failure.
func (d *Dialer) recordDirect(began time.Time, address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if err == nil {
		if lostFor, restored := d.state.DirectConnected(now, address); restored {
			d.log.WithFields(logrus.Fields{"upstream": d.upstreams[address], "address": address, "ms": lostFor.Milliseconds()}).Info("path_restored")
		}
		return
	}
	if d.state.DirectFailed(now, address) {
		d.logLost(now, address, "")
	}
	d.logFailure(now, began, address, err)
}

// logLost logs that the path to an address is lost. helper is the node that connected; "" if it did so before the path was found to fail.
func (d *Dialer) logLost(now time.Time, address string, helper vaneyoke.VMID) {
	d.log.WithFields(logrus.Fields{
		"upstream": d.upstreams[address], "address": address, "peer": helper, "connected_ms": d.sinceConnectedMs(now, address),
	}).Warn("path_lost")
}

// logFailure logs a failed direct connection attempt, unless one to the same address was logged just now.
func (d *Dialer) logFailure(now, began time.Time, address string, err error) {
	if now.Sub(d.loggedAt[address]) < logInterval {
		return
	}
	maps.DeleteFunc(d.loggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= logInterval })
	d.loggedAt[address] = now
	summary := d.state.Summary(now)
	d.log.WithFields(logrus.Fields{
		"upstream": d.upstreams[address], "address": address, "cause": causeOf(err), "ms": now.Sub(began).Milliseconds(),
		"connected_ms": d.sinceConnectedMs(now, address), "reached": summary.Reached, "unreached": summary.Unreached, "lost": summary.Lost,
	}).Warn("upstream_not_reached")
}

// sinceConnectedMs returns the time since the last direct connection to an address in milliseconds, -1 if there was none.
func (d *Dialer) sinceConnectedMs(now time.Time, address string) int64 {
	since, ok := d.state.SinceConnected(now, address)
	if !ok {
		return -1
	}
	return since.Milliseconds()
}

// isListed reports whether a listed upstream has an address.
func (d *Dialer) isListed(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.upstreams[address]
	return ok
}

// help returns what this node can do for another one that wants a connection to an address.
func (d *Dialer) help(address string) overlay.Help {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Help(time.Now(), address)
}

// helpAfterMiss returns what to tell another node after this one has failed to connect to an upstream.
func (d *Dialer) helpAfterMiss() overlay.Help {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.HelpAfterMiss(time.Now())
}
