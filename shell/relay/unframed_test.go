package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// unframedExchange is an answer that ends with its connection.
type unframedExchange struct{ lateExchange }

func (*unframedExchange) Head() forward.Head {
	return forward.Head{Status: http.StatusOK, Framing: forward.CloseDelimited}
}

// outcomePlacer counts the outcomes of attempts.
type outcomePlacer struct {
	sequentialPlacer
	outcomes map[placement.Outcome]int
}

// Ended counts an outcome.
func (p *outcomePlacer) Ended(_ vaneyoke.UpstreamID, outcome placement.Outcome, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[outcome]++
}

// Guards against upstreams that frame nothing, whose whole answers never close their breakers again.
func TestUnframedAnswersLeaveBreakersOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &outcomePlacer{outcomes: map[placement.Outcome]int{}}
		answers := map[vaneyoke.UpstreamID]forward.Response{"a": &unframedExchange{lateExchange{from: "a", events: 2}}, "b": &unframedExchange{}}
		r := newForwarderWith(&fakeSender{answers: answers, reachable: true}, placer)
		result, err := forwardStream(t, r).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.Eq(t, map[placement.Outcome]int{placement.OutcomeDone: 2}, placer.outcomes)
		r.Close()
		synctest.Wait()
	})
}

// Guards against a version whose engines end all streams without an event, with their connections, and which no rollout judges.
func TestRolloutMissesUnframedStreamsWithoutAnEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &rolloutPlacer{kinds: map[vaneyoke.UpstreamID][]rollout.AnswerKind{}}
		answers := map[vaneyoke.UpstreamID]forward.Response{"a": &unframedExchange{}, "b": &unframedExchange{}}
		r := newForwarderWith(&fakeSender{answers: answers, reachable: true}, placer)
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute),
			LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 3,
		})
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.Eq(t, map[vaneyoke.UpstreamID][]rollout.AnswerKind{"a": {rollout.AnswerEmpty}, "b": {rollout.AnswerEmpty}}, placer.kinds)
		r.Close()
		synctest.Wait()
	})
}

// Guards against a request that ends each engine which runs it, whose connections close as after a whole answer, and that is sent to all of them.
func TestRequestWithUnframedAnswersIsNotQuarantined(t *testing.T) {
	for name, events := range map[string]int{"without an event": 0, "after an event": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &crashRecorder{}
				s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{}}}
				for id := 'a'; id <= 'z'; id++ {
					s.answers[vaneyoke.UpstreamID(id)] = &unframedExchange{lateExchange{from: "x", events: events, delay: 50 * time.Millisecond}}
					s.unreachable = append(s.unreachable, vaneyoke.UpstreamID(id))
				}
				r := newForwarderWith(s, g)
				result, err := forwardRequest(t, r, true).Wait(t.Context())
				must.NoError(t, err)
				synctest.Wait()
				must.NotEqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, 3, s.sent.Load())
				must.Len(t, 3, g.crashes)
				r.Close()
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}

// anewExchange is an answer that begins with the first event, whatever the node has.
type anewExchange struct{ lateExchange }

func (*anewExchange) goOnAfter(string) {}

// Guards against a version whose engines go on with streams at wrong events, and that a rollout takes for good.
func TestRolloutMissesWrongEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := &rolloutPlacer{kinds: map[vaneyoke.UpstreamID][]rollout.AnswerKind{}}
		r := newForwarderWith(&fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &anewExchange{lateExchange{from: "b", events: 4}}, "c": &lateExchange{from: "c", events: 2},
		}}, placer)
		session := forwardStream(t, r)
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.EqOp(t, "aacc", string(session.Text()))
		must.EqOp(t, "a", session.Head().Header.Get("From"))
		must.Eq(t, map[vaneyoke.UpstreamID][]rollout.AnswerKind{
			"a": {rollout.AnswerGood, rollout.AnswerLost}, "b": {rollout.AnswerGood, rollout.AnswerLost}, "c": {rollout.AnswerGood},
		}, placer.kinds)
		r.Close()
		synctest.Wait()
	})
}

// spentPlacer places no retry, as the budget is used up.
type spentPlacer struct{ crashRecorder }

func (p *spentPlacer) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if retry {
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeRetryExhausted, "no retry is left")
	}
	return p.crashRecorder.Place(need, retry)
}

// Guards against contents of which no upstream's answer counts as complete, because the ends of their streams stand without a confirmation.
func TestEndThatStandsUnconfirmedIsNoCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &spentPlacer{}
		s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &unframedExchange{lateExchange{from: "a", events: 2}}}}}
		r := newForwarderWith(s, g)
		result, err := forwardRequest(t, r, true).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		synctest.Wait()
		must.EqOp(t, 1, g.completions)
		r.Close()
		synctest.Wait()
	})
}
