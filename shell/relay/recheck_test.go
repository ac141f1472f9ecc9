package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Guards against requests that are sent as the configuration, or the stop of the node, allowed before they waited for an upstream with room.
func TestRequestThatWaitedIsSentThoughItMayNotBe(t *testing.T) {
	const room, wait = 5 * time.Second, 20 * time.Second
	cases := map[string]struct {
		parts     []string      // of the prompt
		refusedAt time.Duration // from when on the request may not be sent; 0 for never
		code      vaneyoke.Code
	}{
		"prompt, refused before there is room": {[]string{"p"}, room - time.Second, vaneyoke.CodeStopping},
		"prompt, refused after it was sent":    {[]string{"p"}, room + time.Second, vaneyoke.CodeOK},
		"prompt, not refused":                  {[]string{"p"}, 0, vaneyoke.CodeOK},
		"no prompt, refused later":             {nil, time.Second, vaneyoke.CodeOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				placer := &busyPlacer{from: now.Add(room)}
				r := newForwarderWith(&fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}}}, placer)
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, PromptParts: tc.parts, Deadline: now.Add(wait),
					LatencyGoal: 4 * time.Second, EventIntervalGoal: time.Second, MaxAttempts: 1,
					Recheck: func(at time.Time) error {
						if tc.refusedAt > 0 && !at.Before(now.Add(tc.refusedAt)) {
							return vaneyoke.ErrRetryAfter(vaneyoke.CodeStopping, time.Second, "the node is stopping")
						}
						return nil
					},
				})
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, tc.code, result.Code)
				if tc.code != vaneyoke.CodeOK {
					must.EqOp(t, time.Second, result.RetryAfter)
					must.Zero(t, placer.next)
				}
				r.Close()
				synctest.Wait()
			})
		})
	}
}
