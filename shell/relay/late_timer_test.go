package relay_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// pausingExchange is a stream whose events come after given pauses, and which then sends nothing for the deadline of its caller.
type pausingExchange struct {
	lateExchange
	pauses []time.Duration
}

func (s *pausingExchange) Next() (forward.Event, error) {
	if s.sent == len(s.pauses) {
		time.Sleep(time.Minute)
		return forward.Event{}, io.ErrUnexpectedEOF
	}
	time.Sleep(s.pauses[s.sent])
	s.sent++
	return forward.Event{ID: string(rune('0' + s.sent)), Data: []byte(s.from)}, nil
}

// refusingPlacer refuses the first retry.
type refusingPlacer struct {
	sequentialPlacer
	refusal error // of the first retry; nil once it has been refused
}

func (p *refusingPlacer) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if err := p.refusal; retry && err != nil {
		p.refusal = nil
		return vaneyoke.Upstream{}, 0, err
	}
	return p.sequentialPlacer.Place(need, retry)
}

// Guards against a stream that waits for a dead upstream, because the replacement of its run was refused when the upstream paused before.
func TestStreamWaitsForADeadUpstreamAfterAPause(t *testing.T) {
	const usual, pause = 50 * time.Millisecond, 1200 * time.Millisecond
	refusals := map[string]error{
		"upstreams push back":    vaneyoke.ErrRetryAfter(vaneyoke.CodePushedBack, 20*time.Second, "push back"),
		"the version is gone":    vaneyoke.Err(vaneyoke.CodeVersionGone, "gone"),
		"the content is blocked": vaneyoke.ErrRetryAfter(vaneyoke.CodeQuarantined, 2*time.Second, "blocked"),
		"none is asked for":      nil,
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pauses := []time.Duration{usual, usual, usual, pause, usual, usual, usual}
				if refusal == nil {
					pauses[3] = usual
				}
				s := &fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{
					"a": &pausingExchange{lateExchange: lateExchange{from: "a"}, pauses: pauses},
					"b": &lateExchange{from: "b", delay: usual, events: 3},
				}}
				r := newForwarderWith(s, &refusingPlacer{refusal: refusal})
				defer time.Sleep(2 * time.Minute) // until all upstreams have ended
				defer r.Close()
				began := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: began}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: began.Add(time.Minute),
					LatencyGoal: 3 * time.Second, EventIntervalGoal: 700 * time.Millisecond, MaxAttempts: 3,
				})
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, "aaaaaaabbb", string(session.Text()))
				must.Less(t, 4*time.Second, time.Since(began))
			})
		})
	}
}
