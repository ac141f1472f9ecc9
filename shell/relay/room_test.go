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

// crowded places attempts in turn, and has room for a prompt from a time on.
type crowded struct {
	inTurn
	from time.Time
}

func (c *crowded) HasRoom(placement.Need) bool { return !time.Now().Before(c.from) }

// TestPromptIsHeldWhileNobodyHasRoom holds a prompt until an upstream has room, or for half of the caller's time, after which it is sent all
// the same; another attempt, whose caller has a part of the answer, is not held.
func TestPromptIsHeldWhileNobodyHasRoom(t *testing.T) {
	for name, tc := range map[string]struct{ room, sent time.Duration }{
		"room at once":      {0, 0},
		"room soon":         {1100 * time.Millisecond, 1200 * time.Millisecond}, // a tenth of the goal between two looks
		"room after a fall": {7 * time.Second, 7200 * time.Millisecond},
		"no room":           {time.Hour, 9600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				s := &sender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{from: "a", events: 2, breaks: true}, "b": &stubborn{from: "b", events: 1}}, reached: true}
				r := newForwarderWith(s, &crowded{from: now.Add(tc.room)})
				session := askPrompt(t.Context(), r)
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

// TestHeldPromptEnds has the caller leave and the node end while a prompt is held: no upstream gets it, and the caller is told that it
// has not run.
func TestHeldPromptEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{from: "a", events: 1}}}
		placer := &crowded{from: time.Now().Add(time.Hour)}
		r := newForwarderWith(s, placer)
		left, stays := askPrompt(t.Context(), r), askPrompt(t.Context(), r)
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

func askPrompt(ctx context.Context, r *relay.Relay) *relay.Session {
	now := time.Now()
	return r.Forward(ctx, &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: true, Parts: []string{"p"}, Deadline: now.Add(20 * time.Second),
		Goal: 4 * time.Second, Pause: time.Second, MaxAttempts: 3,
	})
}

// TestSuspensionsShortenAHold has the VM suspended while a prompt is held: its caller has waited meanwhile, so that it is sent.
func TestSuspensionsShortenAHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s := &sender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{from: "a", events: 1}}}
		r := newForwarderWith(s, &crowded{from: now.Add(time.Hour)})
		session := askPrompt(t.Context(), r)
		time.Sleep(time.Second)
		r.Suspended(9 * time.Second)
		_, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 1200*time.Millisecond, time.Since(now))
		r.Close()
		synctest.Wait()
	})
}
