package relay_test

import (
	"context"
	"expvar"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// queueingPlacer places attempts in sequence, and holds prompts in the queues of a node until there is room.
type queueingPlacer struct {
	busyPlacer
	*admissions.Node
}

func newQueueingPlacer(mode admission.Mode, roomFrom time.Time) *queueingPlacer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := admissions.New(admission.Config{MaxQueued: 10, MaxBytes: 1 << 20}, pacing.New(), admissions.NewMetrics(new(expvar.Map).Init()), log)
	n.SetMode("lm", mode)
	return &queueingPlacer{busyPlacer: busyPlacer{from: roomFrom}, Node: n}
}

func (p *queueingPlacer) Room(need placement.Need) admission.Room {
	return admission.Room{Free: p.HasRoom(need)}
}

// TestQueueHoldsPromptsAsBefore checks that a prompt of a passive service is sent when it was without queues, and that one of a ranked service is
// sent once there is room, or rejected when its caller's time is over.
func TestQueueHoldsPromptsAsBefore(t *testing.T) {
	for name, tc := range map[string]struct {
		mode       admission.Mode
		room, ends time.Duration
		code       vaneyoke.Code
	}{
		"passive, room at once":        {admission.ModePassive, 0, 0, vaneyoke.CodeOK},
		"passive, room soon":           {admission.ModePassive, 1100 * time.Millisecond, 1200 * time.Millisecond, vaneyoke.CodeOK},
		"passive, room later":          {admission.ModePassive, 7 * time.Second, 7200 * time.Millisecond, vaneyoke.CodeOK},
		"passive, no room":             {admission.ModePassive, time.Hour, 9600 * time.Millisecond, vaneyoke.CodeOK},
		"ranked, room soon":            {admission.ModeRanked, 1100 * time.Millisecond, 1200 * time.Millisecond, vaneyoke.CodeOK},
		"ranked, room almost too late": {admission.ModeRanked, 19 * time.Second, 19200 * time.Millisecond, vaneyoke.CodeOK},
		"ranked, no room":              {admission.ModeRanked, time.Hour, 19600 * time.Millisecond, vaneyoke.CodeOverloaded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{from: "b", events: 1}}, reachable: true}
				placer := newQueueingPlacer(tc.mode, now.Add(tc.room))
				defer placer.Close()
				r := newForwarderWith(s, placer)
				session := forwardPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, tc.ends, time.Since(now))
				must.EqOp(t, tc.code, result.Code)
				if tc.code == vaneyoke.CodeOK {
					must.EqOp(t, "aab", string(session.Text()))
				} else {
					must.Zero(t, placer.next)
				}
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// rejectingPlacer rejects each prompt and asks its caller to come back much later.
type rejectingPlacer struct {
	sequentialPlacer
	ended []vaneyoke.Tokens
	admit bool
}

func (p *rejectingPlacer) Acquire(context.Context, admission.Request, func(context.Context) admission.Room) error {
	if p.admit {
		return nil
	}
	return vaneyoke.ErrRetryAfter(vaneyoke.CodeOverloaded, time.Minute, "rejected")
}

func (p *rejectingPlacer) Room(placement.Need) admission.Room { return admission.Room{} }

func (p *rejectingPlacer) RunEnded(_ vaneyoke.ServiceID, prompt vaneyoke.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, prompt)
}

// TestRejectedPromptFailsAtOnce checks that nothing is sent for a rejected prompt, and that its caller is told to come back within a third of its
// time, in which callers heed it.
func TestRejectedPromptFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &rejectingPlacer{}
		r := newForwarderWith(&fakeSender{}, placer)
		startedAt := time.Now()
		result, err := forwardPrompt(t.Context(), r).Wait(t.Context())
		must.NoError(t, err)
		must.Zero(t, time.Since(startedAt))
		must.EqOp(t, vaneyoke.CodeOverloaded, result.Code)
		must.EqOp(t, 20*time.Second/3, result.RetryAfter)
		must.Zero(t, placer.next)
		r.Close()
		synctest.Wait()
	})
}

// TestQueueHearsOfEndedRuns checks that each attempt on a prompt tells the queue when there may be room again, whether it was served or lost; calls
// without a prompt do not.
func TestQueueHearsOfEndedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &rejectingPlacer{admit: true}
		s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"b": &lateExchange{from: "b", events: 1}}, reachable: true}
		r := newForwarderWith(s, placer)
		now := time.Now()
		start := func(parts []string) {
			session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now, PromptBytes: 700}, relay.Forwarding{
				Message: &forward.Message{}, Service: "lm", Stream: true, PromptParts: parts, Deadline: now.Add(20 * time.Second),
				LatencyGoal: 4 * time.Second, EventIntervalGoal: time.Second, MaxAttempts: 3,
			})
			_, err := session.Wait(t.Context())
			must.NoError(t, err)
		}
		start([]string{"p"})
		must.Eq(t, []vaneyoke.Tokens{0, 700}, placer.ended)
		start(nil)
		must.Len(t, 2, placer.ended)
		r.Close()
		synctest.Wait()
	})
}

// TestWaitingPromptLeavesTheQueue has callers leave and the node stop while prompts wait in a queue: nothing is sent, and nothing waits any more.
func TestWaitingPromptLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newQueueingPlacer(admission.ModeRanked, time.Now().Add(time.Hour))
		defer placer.Close()
		r := newForwarderWith(&fakeSender{}, placer)
		left, stays := forwardPrompt(t.Context(), r), forwardPrompt(t.Context(), r)
		time.Sleep(time.Second)
		left.Abandon()
		must.EqOp(t, 1, r.Interrupt())
		result, err := stays.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeStopping, result.Code)
		synctest.Wait()
		must.SliceEmpty(t, placer.Queues().Services[0].Waiting)
		must.Zero(t, placer.next)
		r.Close()
		synctest.Wait()
	})
}
