package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// limitedPlacer places attempts in sequence on upstreams that declare limits, and grants permits for some of them.
type limitedPlacer struct {
	sequentialPlacer
	permits   map[vaneyoke.UpstreamID]int
	unlimited map[vaneyoke.UpstreamID]bool // that declare no limit
	denied    []vaneyoke.UpstreamID
	granted   atomic.Int32
}

func (r *limitedPlacer) Limited(id vaneyoke.UpstreamID) bool { return !r.unlimited[id] }

func (r *limitedPlacer) AcquirePermit(_ context.Context, id vaneyoke.UpstreamID) relay.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.permits[id] == 0 {
		return relay.Permit{AvailableIn: 300 * time.Millisecond, RetryAfter: 700 * time.Millisecond}
	}
	r.permits[id]--
	r.granted.Add(1)
	return relay.Permit{Granted: true}
}

func (r *limitedPlacer) LimitReached(_ placement.Need, _ bool, id vaneyoke.UpstreamID, _ relay.Permit) {
	r.denied = append(r.denied, id)
}

func (r *limitedPlacer) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if need.Unlimited && len(r.unlimited) == 0 {
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeNoUpstream, "none")
	}
	return r.sequentialPlacer.Place(need, retry)
}

// countingSender counts the queries that are sent to upstreams.
type countingSender struct {
	fakeSender
	queries atomic.Int32
}

func (c *countingSender) RunState(ctx context.Context, u vaneyoke.Upstream, path forward.Path, id vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens) {
	c.queries.Add(1)
	return c.fakeSender.RunState(ctx, u, path, id)
}

func (c *countingSender) Identity(ctx context.Context, u vaneyoke.Upstream, path string) (vaneyoke.UpstreamID, bool) {
	c.queries.Add(1)
	return c.fakeSender.Identity(ctx, u, path)
}

// TestAttemptsNeedAPermit tries one upstream after the other, and refuses the request at once if none grants a permit.
func TestAttemptsNeedAPermit(t *testing.T) {
	for name, tc := range map[string]struct {
		permits  map[vaneyoke.UpstreamID]int
		upstream string // the upstream that answers; "" for none
		denied   int    // upstreams that deny a permit
	}{
		"the first":               {map[vaneyoke.UpstreamID]int{"a": 1}, "a", 0},
		"the third":               {map[vaneyoke.UpstreamID]int{"c": 1}, "c", 2},
		"the seventh":             {map[vaneyoke.UpstreamID]int{"g": 1}, "g", 6},
		"none of them":            {nil, "", 9},
		"one beyond the last try": {map[vaneyoke.UpstreamID]int{"z": 1}, "", 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{vaneyoke.UpstreamID(tc.upstream): &lateExchange{from: tc.upstream, events: 1}}, reachable: true}
				placer := &limitedPlacer{permits: tc.permits}
				r := newForwarderWith(s, placer)
				startedAt := time.Now()
				session := forwardPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.Zero(t, time.Since(startedAt))
				must.Len(t, tc.denied, placer.denied)
				if tc.upstream != "" {
					must.EqOp(t, vaneyoke.CodeOK, result.Code)
					must.EqOp(t, 1, placer.granted.Load())
				} else {
					must.EqOp(t, vaneyoke.CodeWithheld, result.Code)
					must.EqOp(t, 700*time.Millisecond, result.RetryAfter)
					must.Zero(t, placer.granted.Load())
				}
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// TestRetryAfterIsCappedByTheDeadline has a limit's retry-after time exceed most of a caller's remaining time: the
// caller is told to retry while it can still be served.
func TestRetryAfterIsCappedByTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newForwarderWith(&fakeSender{}, &limitedPlacer{})
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "shop", Deadline: now.Add(1200 * time.Millisecond), LatencyGoal: 100 * time.Millisecond, MaxAttempts: 1,
		})
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeWithheld, result.Code)
		must.EqOp(t, 400*time.Millisecond, result.RetryAfter)
		r.Close()
		synctest.Wait()
	})
}

// TestQueriesNeedPermits has the streams of an upstream with a limit fall silent: it is queried only as often as there
// are permits, and probed by connections otherwise.
func TestQueriesNeedPermits(t *testing.T) {
	for permits, queries := range map[int]int32{1: 0, 2: 1, 100: 5} { // one permit is for the attempt
		synctest.Test(t, func(t *testing.T) {
			s := &countingSender{fakeSender: fakeSender{
				answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}}, reachable: true, runState: vaneyoke.RunStateQueued,
				waits: map[vaneyoke.UpstreamID]time.Duration{"a": 7 * time.Second},
			}}
			placer := &limitedPlacer{permits: map[vaneyoke.UpstreamID]int{"a": permits}}
			r := newForwarderWith(s, placer)
			session := forwardPrompt(t.Context(), r)
			result, err := session.Wait(t.Context())
			must.NoError(t, err)
			must.EqOp(t, vaneyoke.CodeOK, result.Code)
			must.EqOp(t, queries, s.queries.Load())
			r.Close()
			synctest.Wait()
		})
	}
}
