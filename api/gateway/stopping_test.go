package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/route"
)

// TestStoppingNodeRefusesRequests checks which requests a stopping node accepts, and when it tells the others to retry.
func TestStoppingNodeRefusesRequests(t *testing.T) {
	const (
		long  = 25 * time.Second       // may end after the deadline
		short = 800 * time.Millisecond // answered before the deadline if it arrives by 6,900 ms
	)
	since := time.Unix(1000, 0)
	s := &StopPlan{Since: since, Deadline: since.Add(7700 * time.Millisecond), ReroutingDelay: 2200 * time.Millisecond, LongRequestWindow: 2500 * time.Millisecond}
	before := since.Add(-time.Minute)
	stream := incomingRequest{stream: true, timeNeeded: long}
	resumable := incomingRequest{stream: true, resumable: true, timeNeeded: long}
	call := incomingRequest{timeNeeded: short}
	longCall := incomingRequest{timeNeeded: long}
	shortStream := incomingRequest{stream: true, timeNeeded: short}
	cases := map[string]struct {
		stopping *StopPlan
		request  incomingRequest
		at       time.Duration // after the stop was requested
		opened   time.Time
		refused  bool
		after    time.Duration
	}{
		"not stopping":                      {nil, stream, 0, before, false, 0},
		"early, resumable":                  {s, resumable, 2 * time.Second, before, false, 0},
		"early, not resumable":              {s, stream, 0, before, true, retryAfterOtherNode},
		"late, old connection":              {s, resumable, 2500 * time.Millisecond, before, true, retryAfterOtherNode},
		"late, opened before rerouting":     {s, resumable, 3 * time.Second, since.Add(2 * time.Second), true, retryAfterOtherNode},
		"late, no other node accepts":       {s, resumable, 4 * time.Second, since.Add(4 * time.Second), true, 3700 * time.Millisecond},
		"at the end, no other node accepts": {s, resumable, 8 * time.Second, since.Add(8 * time.Second), true, retryAfterOtherNode},
		"unknown connection":                {s, resumable, 4 * time.Second, time.Time{}, true, retryAfterOtherNode},
		"call, early":                       {s, call, time.Second, before, false, 0},
		"call, due just before the end":     {s, call, 6900 * time.Millisecond, before, false, 0},
		"call, due after the end":           {s, call, 6901 * time.Millisecond, before, true, retryAfterOtherNode},
		"call, no other node accepts":       {s, call, 7200 * time.Millisecond, since.Add(7 * time.Second), true, 500 * time.Millisecond},
		"call at the end":                   {s, call, 7700 * time.Millisecond, before, true, retryAfterOtherNode},
		"long call, early":                  {s, longCall, 2 * time.Second, before, false, 0},
		"long call, late":                   {s, longCall, 2500 * time.Millisecond, before, true, retryAfterOtherNode},
		"short stream, not resumable":       {s, shortStream, 5 * time.Second, before, false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := tc.request
			a.receivedAt, a.connOpenedAt = since.Add(tc.at), tc.opened
			after, refused := tc.stopping.refusal(a)
			must.EqOp(t, tc.refused, refused)
			must.EqOp(t, tc.after, after)
		})
	}
}

// TestRequiredRunTime checks how long a stopping node must keep running to accept a request.
func TestRequiredRunTime(t *testing.T) {
	const maxWait, goal = 800 * time.Millisecond, 100 * time.Millisecond
	cases := map[string]struct {
		route route.Route
		want  time.Duration
	}{
		"at most once":              {route.Route{Kind: route.KindOnce, LatencyGoal: goal}, maxWait},
		"repeatable":                {route.Route{Kind: route.KindRepeatable, LatencyGoal: goal}, 3 * goal},
		"repeatable without a goal": {route.Route{Kind: route.KindRepeatable}, maxWait},
		"repeatable, soon due":      {route.Route{Kind: route.KindRepeatable, LatencyGoal: maxWait}, maxWait},
		"stream":                    {route.Route{Kind: route.KindStream, LatencyGoal: goal, Resumable: true}, maxWait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { must.EqOp(t, tc.want, requiredRunTime(&tc.route, maxWait)) })
	}
}
