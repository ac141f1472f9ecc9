package relay_test

import (
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
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

// Guards against logs and counters that do not tell which attempts are joined, and at which events, and what framed the end.
func TestLogsDoNotTellSplices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		metrics := relay.NewMetrics(new(expvar.Map).Init())
		s := &fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &anewExchange{lateExchange{from: "b", events: 4}},
			"c": &unframedExchange{lateExchange{from: "c", events: 2}}, "d": &lateExchange{from: "d"},
		}}
		r := relay.New(nil, s, &sequentialPlacer{}, noop.NewTracerProvider().Tracer(""), metrics, log, relay.Config{Generation: generation.DefaultConfig()})
		now := time.Now()
		session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
			Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute), LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second,
			MaxAttempts: 9,
		})
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		var lines []string
		for _, entry := range hook.AllEntries() {
			switch f := entry.Data; entry.Message {
			case "stream_spliced":
				lines = append(lines, fmt.Sprint("spliced ", f["splice"], " ", f["before_attempt"], f["before_upstream"], " ", f["after"], ", ", f["attempt"], f["upstream"], " ", f["event"]))
			case "end_unconfirmed":
				lines = append(lines, fmt.Sprint("unconfirmed ", f["attempt"], f["upstream"], " ", f["event"]))
			case "session_ended":
				lines = append(lines, fmt.Sprint("ended ", f["framing"], " ", f["event"]))
			}
		}
		must.Eq(t, []string{"spliced repeated 1a 2, 2b 1", "spliced follows 1a 2, 3c 3", "unconfirmed 3c 4", "ended length 4"}, lines)
		must.EqOp(t, `{"follows": 1, "repeated": 1}`, metrics.Splices.String())
		must.EqOp(t, `{"close": 1, "length": 1}`, metrics.Ends.String())
		r.Close()
		synctest.Wait()
	})
}
