package relay_test

import (
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Guards against complete responses that are refused, or counted as joined to a stream, where the caller has named its last event.
func TestResponseCountsAsASplice(t *testing.T) {
	for name, isStream := range map[string]bool{"to a stream": true, "to a call": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				metrics := relay.NewMetrics(new(expvar.Map).Init())
				s := &fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": unaryExchange{}}, reachable: true}
				r := newForwarderCounting(s, &sequentialPlacer{}, metrics)
				now := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: isStream, ResumeAfter: "2", Deadline: now.Add(time.Minute),
					LatencyGoal: 10 * time.Second, MaxAttempts: 3,
				})
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, "whole", string(session.Text()))
				must.EqOp(t, "{}", metrics.Splices.String())
				r.Close()
				synctest.Wait()
			})
		})
	}
}
