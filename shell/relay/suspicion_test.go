package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// suspicionPlacer refuses each retry, and records what it learns of upstreams.
type suspicionPlacer struct {
	sequentialPlacer
	suspected, ended []placement.Outcome
}

func (p *suspicionPlacer) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if retry {
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeRetryExhausted, "spent")
	}
	return p.sequentialPlacer.Place(need, retry)
}

func (p *suspicionPlacer) Suspected(_ vaneyoke.UpstreamID, outcome placement.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspected = append(p.suspected, outcome)
}

func (p *suspicionPlacer) Ended(_ vaneyoke.UpstreamID, outcome placement.Outcome, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, outcome)
}

// Guards against an upstream that falls silent and gets more work, as nobody learns of it while its run is not taken over; and against one silence that
// counts twice.
func TestSilenceIsUnknownWhileNobodyTakesOver(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		code  vaneyoke.Code
		ended placement.Outcome
	}{
		"it goes on":              {3 * time.Second, vaneyoke.CodeOK, placement.OutcomeDone},
		"it is silent for good":   {time.Minute, vaneyoke.CodeInterrupted, placement.OutcomeDropped},
		"its connection is reset": {5 * time.Second, vaneyoke.CodeInterrupted, placement.OutcomeDropped},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := &pausingExchange{lateExchange: lateExchange{from: "a"}, pauses: []time.Duration{50 * time.Millisecond, tc.pause}}
				s := &fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{"a": &endingExchange{pausingExchange: answer, breaks: tc.code != vaneyoke.CodeOK}}}
				p := &suspicionPlacer{}
				r := newForwarderWith(s, p)
				defer time.Sleep(2 * time.Minute) // until the upstream has ended
				defer r.Close()
				began := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: began}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: began.Add(20 * time.Second),
					LatencyGoal: 3 * time.Second, EventIntervalGoal: 700 * time.Millisecond, MaxAttempts: 3,
				})
				time.Sleep(2 * time.Second)
				p.mu.Lock()
				must.Eq(t, []placement.Outcome{placement.OutcomeLost}, p.suspected)
				must.SliceEmpty(t, p.ended)
				p.mu.Unlock()
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, tc.code, result.Code)
				p.mu.Lock()
				defer p.mu.Unlock()
				must.Len(t, 1, p.suspected)
				must.Eq(t, []placement.Outcome{tc.ended}, p.ended)
			})
		})
	}
}

// endingExchange ends, or breaks, after its last pause.
type endingExchange struct {
	*pausingExchange
	breaks bool
}

func (s *endingExchange) Next() (forward.Event, error) {
	if s.sent < len(s.pauses) {
		if event, err := s.pausingExchange.Next(); !s.breaks || s.sent < len(s.pauses) {
			return event, err
		}
	}
	return (&lateExchange{breaks: s.breaks}).Next()
}
