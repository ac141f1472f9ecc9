package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/route"
)

// waiting is a request whose caller waits for a time.
type waiting struct {
	stream, resumable bool
	wait              time.Duration
	answerTime        time.Duration
}

// incoming returns the request as one that was received at a time over a connection.
func (w waiting) incoming(received, opened time.Time) incomingRequest {
	return incomingRequest{connOpenedAt: opened, deadline: received.Add(w.wait), answerTime: w.answerTime, stream: w.stream, resumable: w.resumable}
}

// TestStoppingNodeRefusesRequests checks which requests a stopping node accepts, and when it tells the others to retry.
func TestStoppingNodeRefusesRequests(t *testing.T) {
	const (
		long  = 25 * time.Second       // may end after the deadline
		short = 800 * time.Millisecond // answered before the deadline if it arrives by 6,900 ms
	)
	since := time.Unix(1000, 0)
	s := &StopPlan{Since: since, Deadline: since.Add(7700 * time.Millisecond), ReroutingDelay: 2200 * time.Millisecond, LongRequestWindow: 2500 * time.Millisecond}
	before := since.Add(-time.Minute)
	stream, resumable, call, longCall, shortStream := waiting{true, false, long, 0}, waiting{true, true, long, 0}, waiting{false, false, short, 0},
		waiting{false, false, long, 0}, waiting{true, false, short, 0}
	repeatable := waiting{false, true, long, short}
	cases := map[string]struct {
		stopping *StopPlan
		request  waiting
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
		"repeatable, likely to be answered": {s, repeatable, 6900 * time.Millisecond, before, false, 0},
		"repeatable, due after the end":     {s, repeatable, 6901 * time.Millisecond, before, true, retryAfterOtherNode},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := since.Add(tc.at)
			after, refused := tc.stopping.refusal(now, tc.request.incoming(now, tc.opened))
			must.EqOp(t, tc.refused, refused)
			must.EqOp(t, tc.after, after)
		})
	}
}

// Guards against a request that a stopping node accepts when its body is complete as if it had been complete with its header, and cuts off at its end.
func TestStoppingNodeDecidesByTheTimeOfTheHeader(t *testing.T) {
	since := time.Unix(1000, 0)
	s := &StopPlan{Since: since, Deadline: since.Add(7700 * time.Millisecond), ReroutingDelay: 2200 * time.Millisecond, LongRequestWindow: 2500 * time.Millisecond}
	before := since.Add(-time.Second) // header and connection
	cases := map[string]struct {
		request  waiting
		complete time.Duration // after the stop was requested
		refused  bool
	}{
		"stream, early":                      {waiting{true, true, 25 * time.Second, 0}, 2499 * time.Millisecond, false},
		"stream, late":                       {waiting{true, true, 25 * time.Second, 0}, 2500 * time.Millisecond, true},
		"stream that cannot go on elsewhere": {waiting{true, false, 25 * time.Second, 0}, time.Millisecond, true},
		"stream that is due before the end":  {waiting{true, false, 8700 * time.Millisecond, 0}, 7 * time.Second, false},
		"call, late":                         {waiting{false, false, 25 * time.Second, 0}, 2500 * time.Millisecond, true},
		"call that is due before the end":    {waiting{false, false, 8700 * time.Millisecond, 0}, 7 * time.Second, false},
		"repeatable call, early enough":      {waiting{false, true, 25 * time.Second, 300 * time.Millisecond}, 7400 * time.Millisecond, false},
		"repeatable call, too late":          {waiting{false, true, 25 * time.Second, 300 * time.Millisecond}, 7401 * time.Millisecond, true},
		"repeatable call that is due anyway": {waiting{false, true, 8 * time.Second, 300 * time.Millisecond}, 7401 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, refused := s.refusal(since.Add(tc.complete), tc.request.incoming(before, before))
			must.EqOp(t, tc.refused, refused)
		})
	}
}

// TestExpectedAnswerTime checks which requests a stopping node may accept by the time in which they are likely to be answered.
func TestExpectedAnswerTime(t *testing.T) {
	const goal = 100 * time.Millisecond
	cases := map[string]struct {
		route route.Route
		want  time.Duration
	}{
		"at most once":              {route.Route{Kind: route.KindOnce, LatencyGoal: goal}, 0},
		"repeatable":                {route.Route{Kind: route.KindRepeatable, LatencyGoal: goal}, 3 * goal},
		"repeatable without a goal": {route.Route{Kind: route.KindRepeatable}, 0},
		"stream":                    {route.Route{Kind: route.KindStream, LatencyGoal: goal, Resumable: true}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { must.EqOp(t, tc.want, expectedAnswerTime(&tc.route)) })
	}
}
