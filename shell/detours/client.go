package detours

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

const (
	// detourTimeout bounds the opening of a detour.
	detourTimeout = 120 * time.Millisecond
	// maxResponseHeader bounds the header of a helper's response.
	maxResponseHeader = 4 << 10
)

// keepAlive detects a helper, or a node at the other end, that disappeared without closing its connections. The operating system takes whole
// seconds only.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// refusedError reports that a helper made no connection.
type refusedError struct {
	helper  vaneyoke.VMID
	refusal overlay.Refusal
	err     error
}

// Error returns the helper and what it answered.
func (e *refusedError) Error() string { return fmt.Sprintf("through %s: %s", e.helper, e.err) }

// Unwrap returns the cause.
func (e *refusedError) Unwrap() error { return e.err }

// dialDetour connects through the helper of a way, and records the outcome.
func (d *Dialer) dialDetour(ctx context.Context, way overlay.Way, address string) (net.Conn, error) {
	helper := way.Helper
	d.mu.Lock()
	member, ok := d.helpers[helper]
	d.mu.Unlock()
	if !ok {
		return nil, &refusedError{helper, overlay.RefusalUnusable, errors.New("not a member")}
	}
	began := time.Now()
	conn, err := openDetour(ctx, way, member.Address, address)
	d.recordDetour(ctx, began, address, helper, err)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// recordDetour records the outcome of a connection attempt through a helper.
func (d *Dialer) recordDetour(ctx context.Context, began time.Time, address string, helper vaneyoke.VMID, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	refused, isRefused := errors.AsType[*refusedError](err)
	switch {
	case err == nil:
		d.metrics.dials.Add("detour connected", 1)
		if d.state.DetourConnected(now, address, helper) {
			d.logLost(now, address, helper)
		}
		return
	case errors.Is(ctx.Err(), context.Canceled):
		d.metrics.dials.Add("detour overtaken", 1)
		d.state.DetourOvertaken(now, helper, now.Sub(began))
		return
	case !isRefused:
		refused = &refusedError{helper, overlay.RefusalUnusable, err}
	}
	d.metrics.dials.Add("detour "+refused.refusal.String(), 1)
	d.state.DetourRefused(now, address, helper, refused.refusal)
	if key := string(helper) + " " + refused.refusal.String(); now.Sub(d.loggedAt[key]) >= logInterval {
		d.loggedAt[key] = now
		d.log.WithFields(logrus.Fields{
			"upstream": d.upstreams[address], "address": address, "peer": helper, "reason": refused.refusal, "error": refused.err, "ms": now.Sub(began).Milliseconds(),
		}).Info("detour_refused")
	}
}

// detourQuery returns the query of a request for a detour.
func detourQuery(ctx context.Context, way overlay.Way, upstreamAddress string) string {
	query := url.Values{addressKey: {upstreamAddress}}
	if way.LastResort {
		query.Set(lastResortKey, strconv.FormatInt(max(forward.RemainingOf(ctx), 0).Milliseconds(), 10))
	}
	return query.Encode()
}

// openDetour asks the helper of a way, at its address for other nodes, to connect to an upstream.
func openDetour(ctx context.Context, way overlay.Way, helperAddress, upstreamAddress string) (*detour, error) {
	helper, query := way.Helper, detourQuery(ctx, way, upstreamAddress)
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", helperAddress)
	if err != nil {
		return nil, &refusedError{helper, unreachedRefusal(err), err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	c, err := requestDetour(conn, helper, query)
	if !stop() {
		err = &refusedError{helper, overlay.RefusalNoAnswer, context.Cause(ctx)}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// unreachedRefusal returns the reason that an error of the connection to a helper stands for: one that is slow may help later, one that refuses
// connections is gone.
func unreachedRefusal(err error) overlay.Refusal {
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
		return overlay.RefusalNoAnswer
	}
	return overlay.RefusalUnusable
}

// requestDetour sends the request for a detour and reads the header of the response.
func requestDetour(conn net.Conn, helper vaneyoke.VMID, query string) (*detour, error) {
	unusable := func(err error) error { return &refusedError{helper, overlay.RefusalUnusable, err} }
	target := url.URL{Scheme: "http", Host: conn.RemoteAddr().String(), Path: Path, RawQuery: query}
	req, err := http.NewRequest(http.MethodPost, target.String(), http.NoBody) //nolint:noctx // the connection has a deadline
	if err != nil {
		return nil, unusable(err)
	}
	if err := req.Write(conn); err != nil {
		return nil, unusable(err)
	}
	header := &io.LimitedReader{R: conn, N: maxResponseHeader}
	reader := bufio.NewReader(httpcheck.NewReader(header))
	res, err := http.ReadResponse(reader, req) //nolint:bodyclose // the connection is closed
	if err != nil {
		return nil, unusable(err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, &refusedError{helper, refusalOf(res.StatusCode), errors.New(res.Status)}
	}
	if !slices.Equal(res.TransferEncoding, []string{"chunked"}) { // its end could not be told from the helper's
		return nil, unusable(errors.New("the answer does not come in chunks"))
	}
	header.N = math.MaxInt64 // the bound is for the header only
	return &detour{Conn: conn, helper: helper, received: res.Body}, nil
}

// refusalOf returns the reason that the status of a helper's response stands for.
func refusalOf(status int) overlay.Refusal {
	switch status {
	case http.StatusBadGateway:
		return overlay.RefusalMissed
	case http.StatusFailedDependency:
		return overlay.RefusalNoPath
	case http.StatusTooManyRequests:
		return overlay.RefusalBusy
	case http.StatusPreconditionFailed:
		return overlay.RefusalStopping
	default:
		return overlay.RefusalUnusable
	}
}

// detour is a connection to an upstream through a helper. What the upstream sends arrives in chunks, so that the end of its connection is told from
// the loss of the helper.
type detour struct {
	net.Conn
	helper   vaneyoke.VMID
	received io.Reader
}

// Read reads what the upstream sent.
func (c *detour) Read(p []byte) (int, error) { return c.received.Read(p) }

// Path returns the path of the connection.
func (c *detour) Path() forward.Path { return forward.PathThrough(c.helper) }
