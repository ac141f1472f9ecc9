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

// rationed places attempts in turn on upstreams that name limits, and gives permits for some of them.
type rationed struct {
	inTurn
	permits  map[vaneyoke.UpstreamID]int
	free     map[vaneyoke.UpstreamID]bool // that name no limit
	withheld []vaneyoke.UpstreamID
	used     atomic.Int32
}

func (r *rationed) Limited(id vaneyoke.UpstreamID) bool { return !r.free[id] }

func (r *rationed) Permit(_ context.Context, id vaneyoke.UpstreamID) relay.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.permits[id] == 0 {
		return relay.Permit{Next: 300 * time.Millisecond, Turn: 700 * time.Millisecond}
	}
	r.permits[id]--
	r.used.Add(1)
	return relay.Permit{Granted: true}
}

func (r *rationed) Withheld(_ placement.Need, _ bool, id vaneyoke.UpstreamID, _ relay.Permit) {
	r.withheld = append(r.withheld, id)
}

func (r *rationed) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if need.Unlimited && len(r.free) == 0 {
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeNoUpstream, "none")
	}
	return r.inTurn.Place(need, retry)
}

// counted counts what is sent to upstreams besides attempts.
type counted struct {
	sender
	questions atomic.Int32
}

func (c *counted) RunState(ctx context.Context, u vaneyoke.Upstream, id vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens) {
	c.questions.Add(1)
	return c.sender.RunState(ctx, u, id)
}

func (c *counted) Identity(ctx context.Context, u vaneyoke.Upstream, path string) (vaneyoke.UpstreamID, bool) {
	c.questions.Add(1)
	return c.sender.Identity(ctx, u, path)
}

// TestAttemptsGoWhereThereIsAPermit asks one upstream after the other, and refuses the request at once where none has a permit.
func TestAttemptsGoWhereThereIsAPermit(t *testing.T) {
	for name, tc := range map[string]struct {
		permits map[vaneyoke.UpstreamID]int
		from    string // the upstream that answers; "" for none
		asked   int    // upstreams that have no permit
	}{
		"the first":       {map[vaneyoke.UpstreamID]int{"a": 1}, "a", 0},
		"the third":       {map[vaneyoke.UpstreamID]int{"c": 1}, "c", 2},
		"the seventh":     {map[vaneyoke.UpstreamID]int{"g": 1}, "g", 6},
		"none has any":    {nil, "", 9},
		"one of too many": {map[vaneyoke.UpstreamID]int{"z": 1}, "", 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sender{answers: map[vaneyoke.UpstreamID]forward.Response{vaneyoke.UpstreamID(tc.from): &stubborn{from: tc.from, events: 1}}, reached: true}
				placer := &rationed{permits: tc.permits}
				r := newForwarderWith(s, placer)
				began := time.Now()
				session := askPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.Zero(t, time.Since(began))
				must.Len(t, tc.asked, placer.withheld)
				if tc.from != "" {
					must.EqOp(t, vaneyoke.CodeOK, result.Code)
					must.EqOp(t, 1, placer.used.Load())
				} else {
					must.EqOp(t, vaneyoke.CodeWithheld, result.Code)
					must.EqOp(t, 700*time.Millisecond, result.RetryAfter)
					must.Zero(t, placer.used.Load())
				}
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// TestCallersAreToldATimeThatFits has little of a caller's time be left when its turn would be: it is told to come back while it can still be served.
func TestCallersAreToldATimeThatFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newForwarderWith(&sender{}, &rationed{})
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "shop", Deadline: now.Add(1200 * time.Millisecond), Goal: 100 * time.Millisecond, MaxAttempts: 1,
		})
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeWithheld, result.Code)
		must.EqOp(t, 400*time.Millisecond, result.RetryAfter)
		r.Close()
		synctest.Wait()
	})
}

// TestQuestionsNeedPermits has streams of an upstream that names a limit fall silent: it is asked only as often as there are permits, and found out
// by its connections otherwise.
func TestQuestionsNeedPermits(t *testing.T) {
	for permits, questions := range map[int]int32{1: 0, 2: 1, 100: 5} { // one is for the attempt
		synctest.Test(t, func(t *testing.T) {
			s := &counted{sender: sender{
				answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{from: "a", events: 1}}, reached: true, work: vaneyoke.RunStateQueued,
				waits: map[vaneyoke.UpstreamID]time.Duration{"a": 7 * time.Second},
			}}
			placer := &rationed{permits: map[vaneyoke.UpstreamID]int{"a": permits}}
			r := newForwarderWith(s, placer)
			session := askPrompt(t.Context(), r)
			result, err := session.Wait(t.Context())
			must.NoError(t, err)
			must.EqOp(t, vaneyoke.CodeOK, result.Code)
			must.EqOp(t, questions, s.questions.Load())
			r.Close()
			synctest.Wait()
		})
	}
}
