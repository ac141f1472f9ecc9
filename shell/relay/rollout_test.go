package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// rolloutPlacer keeps the answers that are recorded for rollouts.
type rolloutPlacer struct {
	sequentialPlacer
	kinds map[vaneyoke.UpstreamID][]rollout.AnswerKind
}

func (*rolloutPlacer) DrawCanary(vaneyoke.ServiceID) bool { return false }

func (p *rolloutPlacer) RecordAnswer(u vaneyoke.Upstream, _ vaneyoke.RouteID, answer rollout.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[u.ID] = append(p.kinds[u.ID], answer.Kind)
}

// Guards against streams that end without an event and are in no count of a rollout.
func TestRolloutMissesStreamsWithoutAnEvent(t *testing.T) {
	cases := map[string]struct {
		answers     map[vaneyoke.UpstreamID]forward.Response
		resumeAfter string
		kinds       map[vaneyoke.UpstreamID][]rollout.AnswerKind
	}{
		"without an event": {
			map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{}}, "",
			map[vaneyoke.UpstreamID][]rollout.AnswerKind{"a": {rollout.AnswerEmpty}},
		},
		"with events": {
			map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 2}}, "",
			map[vaneyoke.UpstreamID][]rollout.AnswerKind{"a": {rollout.AnswerGood}},
		},
		"after the caller's last event": {
			map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{}}, "2",
			map[vaneyoke.UpstreamID][]rollout.AnswerKind{"a": {rollout.AnswerGood}},
		},
		"after the last event of a lost attempt": {
			map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{}}, "",
			map[vaneyoke.UpstreamID][]rollout.AnswerKind{"a": {rollout.AnswerGood, rollout.AnswerLost}, "b": {rollout.AnswerGood}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				placer := &rolloutPlacer{kinds: map[vaneyoke.UpstreamID][]rollout.AnswerKind{}}
				r := newForwarderWith(&fakeSender{answers: tc.answers, reachable: true}, placer)
				now := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, ResumeAfter: tc.resumeAfter, Deadline: now.Add(time.Minute),
					LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 3,
				})
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.Eq(t, tc.kinds, placer.kinds)
				r.Close()
				synctest.Wait()
			})
		})
	}
}
