package detours

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/overlay"
)

// race tries the ways of a plan, each with a head start over the next, until one connects (RFC 8305).
type race struct {
	dialer           *Dialer
	network, address string
	ways             []overlay.Way // not started yet
	pending          int
	results          chan result
	errs             []error
}

type result struct {
	way  overlay.Way
	conn net.Conn
	err  error
}

// race returns the first connection that a way of the plan makes. The direct attempt goes on, to tell the state of the path.
func (d *Dialer) race(ctx context.Context, network, address string, plan overlay.Plan) (net.Conn, error) {
	r := &race{dialer: d, network: network, address: address, ways: plan.Ways, results: make(chan result, 2*len(plan.Ways)+1)}
	detoursCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.discard()
	if plan.Probe {
		r.start(ctx, overlay.Way{})
	}
	r.startNext(detoursCtx)
	headStart := time.NewTicker(overlay.HeadStart)
	defer headStart.Stop()
	for r.pending > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-headStart.C:
			r.startNext(detoursCtx)
		case res := <-r.results:
			r.pending--
			if res.err == nil {
				return res.conn, nil
			}
			r.errs = append(r.errs, res.err)
			if refused, ok := errors.AsType[*refusedError](res.err); ok && refused.refusal == overlay.RefusalStopping && !res.way.LastResort {
				r.ways = append(r.ways, overlay.Way{Helper: refused.helper, LastResort: true})
			}
			r.startNext(detoursCtx)
		}
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: raceError(r.errs)}
}

// raceError holds the errors of all ways that were tried. It is a timeout if one of them is, unless the upstream refused a connection.
type raceError []error

// Error implements error.
func (e raceError) Error() string { return errors.Join(e...).Error() }

// Unwrap is called by package errors.
func (e raceError) Unwrap() []error { return e }

// Timeout is called by net.OpError.
func (e raceError) Timeout() bool {
	if errors.Is(e, syscall.ECONNREFUSED) {
		return false
	}
	return slices.ContainsFunc(e, func(err error) bool {
		timeout, ok := errors.AsType[net.Error](err)
		return ok && timeout.Timeout()
	})
}

// startNext starts the next way that may be tried, if there is one.
func (r *race) startNext(ctx context.Context) {
	for len(r.ways) > 0 {
		way := r.ways[0]
		r.ways = r.ways[1:]
		if r.dialer.mayTry(r.address, way) {
			r.start(ctx, way)
			return
		}
	}
}

func (r *race) start(ctx context.Context, way overlay.Way) {
	r.pending++
	go func() {
		res := result{way: way}
		if way.IsDirect() {
			direct, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
			defer cancel()
			res.conn, res.err = r.dialer.dialDirect(direct, r.network, r.address)
		} else {
			res.conn, res.err = r.dialer.dialDetour(ctx, way, r.address)
		}
		r.results <- res
	}()
}

// discard closes the connections that come too late.
func (r *race) discard() {
	if r.pending == 0 {
		return
	}
	go func() {
		for range r.pending {
			if late := <-r.results; late.err == nil {
				_ = late.conn.Close()
			}
		}
	}()
}

func (d *Dialer) mayTry(address string, way overlay.Way) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.MayTry(time.Now(), address, way)
}
