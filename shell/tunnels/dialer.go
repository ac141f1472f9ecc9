package tunnels

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
)

// logInterval is the minimum time between two log lines on failed connection attempts to the same address.
const logInterval = time.Second

// NetDialer opens connections; net.Dialer is one.
type NetDialer interface {
	// DialContext connects to an address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer connects this node to upstreams.
type Dialer struct {
	direct  NetDialer
	metrics *Metrics
	log     logrus.FieldLogger

	mu        sync.Mutex
	state     *overlay.State
	upstreams map[string]vaneyoke.UpstreamID // by address
	loggedAt  map[string]time.Time           // when a failure was last logged, by address
}

// NewDialer returns a dialer whose connections are opened by direct.
func NewDialer(direct NetDialer, metrics *Metrics, log logrus.FieldLogger) *Dialer {
	return &Dialer{
		direct: direct, metrics: metrics, log: log, state: overlay.New(),
		upstreams: map[string]vaneyoke.UpstreamID{}, loggedAt: map[string]time.Time{},
	}
}

// SetUpstreams sets the listed upstreams by their addresses.
func (d *Dialer) SetUpstreams(upstreams map[string]vaneyoke.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = upstreams
}

// Summary counts the upstreams that were recently reached or not.
func (d *Dialer) Summary() overlay.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Summary(time.Now())
}

// DialContext connects to an upstream's address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	conn, err := d.direct.DialContext(ctx, network, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) { // says nothing about the path
		return nil, err
	}
	d.metrics.dials.Add("direct "+causeOf(err), 1)
	d.recordDirect(began, address, err)
	return conn, err
}

// recordDirect records the outcome of a direct connection attempt, and logs a failure.
func (d *Dialer) recordDirect(began time.Time, address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if err == nil {
		d.state.Connected(now, address)
		return
	}
	sinceConnected, hasConnected := d.state.Failed(now, address)
	if now.Sub(d.loggedAt[address]) < logInterval {
		return
	}
	maps.DeleteFunc(d.loggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= logInterval })
	d.loggedAt[address] = now
	connectedMs := int64(-1)
	if hasConnected {
		connectedMs = sinceConnected.Milliseconds()
	}
	summary := d.state.Summary(now)
	d.log.WithFields(logrus.Fields{
		"upstream": d.upstreams[address], "address": address, "cause": causeOf(err), "ms": now.Sub(began).Milliseconds(),
		"connected_ms": connectedMs, "reached": summary.Reached, "unreached": summary.Unreached,
	}).Warn("upstream_not_reached")
}
