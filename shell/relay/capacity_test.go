package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// busyPlacer places attempts in sequence, and has room for a prompt from a given time on.
type busyPlacer struct {
	sequentialPlacer
	from time.Time
}

func (c *busyPlacer) HasRoom(placement.Need) bool { return !time.Now().Before(c.from) }

// TestPromptWaitsForCapacity checks that a prompt waits until an upstream has room, or for half of the caller's time,
// after which it is sent anyway. A later attempt, whose caller has a part of the answer, does not wait.
func TestPromptWaitsForCapacity(t *testing.T) {
	for name, tc := range map[string]struct{ room, sent time.Duration }{
		"room at once": {0, 0},
		"room soon":    {1100 * time.Millisecond, 1200 * time.Millisecond}, // a tenth of the goal between two checks
		"room later":   {7 * time.Second, 7200 * time.Millisecond},
		"no room":      {time.Hour, 9600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{from: "b", events: 1}}, reachable: true}
				r := newForwarderWith(s, &busyPlacer{from: now.Add(tc.room)})
				session := forwardPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, "aab", string(session.Text()))
				must.EqOp(t, tc.sent, time.Since(now))
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// TestWaitingPromptEndsWithCallerOrNode has the caller leave or the node stop while a prompt waits for capacity: no
// upstream gets it, and the caller is told that it was not run.
func TestWaitingPromptEndsWithCallerOrNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}}}
		placer := &busyPlacer{from: time.Now().Add(time.Hour)}
		r := newForwarderWith(s, placer)
		left, stays := forwardPrompt(t.Context(), r), forwardPrompt(t.Context(), r)
		time.Sleep(time.Second)
		left.Abandon()
		must.EqOp(t, 1, r.Interrupt())
		result, err := stays.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeStopping, result.Code)
		time.Sleep(time.Minute)
		must.Zero(t, placer.next)
		r.Close()
		synctest.Wait()
	})
}

func forwardPrompt(ctx context.Context, r *relay.Relay) *relay.Session {
	now := time.Now()
	return r.Forward(ctx, &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: true, PromptParts: []string{"p"}, Deadline: now.Add(20 * time.Second),
		LatencyGoal: 4 * time.Second, EventIntervalGoal: time.Second, MaxAttempts: 3,
	})
}

// TestSuspensionShortensTheWaitForCapacity suspends the VM while a prompt waits: the caller has been waiting meanwhile,
// so the prompt is sent.
func TestSuspensionShortensTheWaitForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}}}
		r := newForwarderWith(s, &busyPlacer{from: now.Add(time.Hour)})
		session := forwardPrompt(t.Context(), r)
		time.Sleep(time.Second)
		r.Suspended(9 * time.Second)
		_, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 1200*time.Millisecond, time.Since(now))
		r.Close()
		synctest.Wait()
	})
}
