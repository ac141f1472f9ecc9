package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/route"
)

// TestRequestsAtAStoppingNode holds which requests a node that was told to stop takes, and when it has the others come back.
func TestRequestsAtAStoppingNode(t *testing.T) {
	const (
		long  = 25 * time.Second       // may last longer than the node
		short = 800 * time.Millisecond // is answered before the node ends, until 6,900 ms
	)
	since := time.Unix(1000, 0)
	s := &StopPlan{Since: since, Deadline: since.Add(7700 * time.Millisecond), ReroutingDelay: 2200 * time.Millisecond, LongRequestWindow: 2500 * time.Millisecond}
	before := since.Add(-time.Minute)
	stream := arrival{stream: true, needs: long}
	resumable := arrival{stream: true, resumable: true, needs: long}
	call := arrival{needs: short}
	longCall := arrival{needs: long}
	shortStream := arrival{stream: true, needs: short}
	cases := map[string]struct {
		stopping *StopPlan
		request  arrival
		at       time.Duration // after the node was told to stop
		opened   time.Time
		refused  bool
		after    time.Duration
	}{
		"does not stop":                     {nil, stream, 0, before, false, 0},
		"soon, can go on elsewhere":         {s, resumable, 2 * time.Second, before, false, 0},
		"soon, cannot":                      {s, stream, 0, before, true, retryElsewhere},
		"later, kept connection":            {s, resumable, 2500 * time.Millisecond, before, true, retryElsewhere},
		"later, from before it was known":   {s, resumable, 3 * time.Second, since.Add(2 * time.Second), true, retryElsewhere},
		"later, others take none":           {s, resumable, 4 * time.Second, since.Add(4 * time.Second), true, 3700 * time.Millisecond},
		"at the end, others take none":      {s, resumable, 8 * time.Second, since.Add(8 * time.Second), true, retryElsewhere},
		"connection of which nothing known": {s, resumable, 4 * time.Second, time.Time{}, true, retryElsewhere},
		"call, soon":                        {s, call, time.Second, before, false, 0},
		"call, due just before the end":     {s, call, 6900 * time.Millisecond, before, false, 0},
		"call, due after the end":           {s, call, 6901 * time.Millisecond, before, true, retryElsewhere},
		"call, others take none":            {s, call, 7200 * time.Millisecond, since.Add(7 * time.Second), true, 500 * time.Millisecond},
		"call at the end":                   {s, call, 7700 * time.Millisecond, before, true, retryElsewhere},
		"long call, soon":                   {s, longCall, 2 * time.Second, before, false, 0},
		"long call, later":                  {s, longCall, 2500 * time.Millisecond, before, true, retryElsewhere},
		"short stream that cannot go on":    {s, shortStream, 5 * time.Second, before, false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := tc.request
			a.at, a.opened = since.Add(tc.at), tc.opened
			after, refused := tc.stopping.refusal(a)
			must.EqOp(t, tc.refused, refused)
			must.EqOp(t, tc.after, after)
		})
	}
}

// TestTimeThatARequestNeeds holds how long a stopping node must still run to take a request.
func TestTimeThatARequestNeeds(t *testing.T) {
	const longest, goal = 800 * time.Millisecond, 100 * time.Millisecond
	cases := map[string]struct {
		route route.Route
		want  time.Duration
	}{
		"may run once":              {route.Route{Kind: route.KindOnce, LatencyGoal: goal}, longest},
		"repeatable":                {route.Route{Kind: route.KindRepeatable, LatencyGoal: goal}, 3 * goal},
		"repeatable without a goal": {route.Route{Kind: route.KindRepeatable}, longest},
		"repeatable, soon due":      {route.Route{Kind: route.KindRepeatable, LatencyGoal: longest}, longest},
		"stream":                    {route.Route{Kind: route.KindStream, LatencyGoal: goal, Resumable: true}, longest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { must.EqOp(t, tc.want, needed(&tc.route, longest)) })
	}
}
