package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/gateway"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Times of a stop with held bodies.
const (
	heldDeadline = time.Minute
	heldWindow   = 20 * time.Second // in which requests are taken that may outlast the node
	heldGoal     = 5 * time.Second  // of a call that is likely to be answered in three times that
	tick         = time.Millisecond
	noRest       = time.Duration(-1)
)

var (
	fragileRoute = route.Route{ID: "fragile", Host: "h", Prefix: "/fragile/", Kind: route.KindStream, Timeout: time.Hour, MaxAttempts: 1, Targets: []route.Target{{Service: "s", Weight: 1}}}
	lookRoute    = route.Route{ID: "look", Host: "h", Prefix: "/look/", Kind: route.KindRepeatable, Timeout: time.Hour, LatencyGoal: heldGoal, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}}
)

// countingSender counts the attempts that are sent.
type countingSender struct {
	timedSender
	sent atomic.Int64
}

func (s *countingSender) Send(ctx context.Context, a *forward.Attempt) (forward.Response, error) {
	s.sent.Add(1)
	return s.timedSender.Send(ctx, a)
}

// heldBody is a request whose head comes at a moment and the rest of its body at another one, both counted from the stop; a negative head comes before.
type heldBody struct {
	path       string
	wait       time.Duration // of the caller
	head, rest time.Duration
	status     int
	refusedAt  time.Duration // of a refusal
}

const longCallerWait = 10 * time.Minute

// heldBodies returns cases around each bound of a stop; those in time and those that are late differ by a millisecond.
func heldBodies() (inTime, late map[string]heldBody) {
	const before, within = -time.Second, time.Second
	inTime = map[string]heldBody{
		"call, complete in the window":                            {path: "/buy/x", wait: longCallerWait, head: before, rest: heldWindow - tick, status: http.StatusOK},
		"call, complete in the window, head in the stop":          {path: "/buy/x", wait: longCallerWait, head: within, rest: heldWindow - tick, status: http.StatusOK},
		"stream, complete in the window":                          {path: "/tell/x", wait: longCallerWait, head: before, rest: heldWindow - tick, status: http.StatusOK},
		"fragile stream, complete before the stop":                {path: "/fragile/x", wait: longCallerWait, head: before, rest: before / 2, status: http.StatusOK},
		"call due at the deadline":                                {path: "/buy/x", wait: heldDeadline - before, head: before, rest: 50 * time.Second, status: http.StatusOK},
		"stream due at the deadline":                              {path: "/tell/x", wait: heldDeadline - before, head: before, rest: 50 * time.Second, status: http.StatusOK},
		"fragile stream due at the deadline":                      {path: "/fragile/x", wait: heldDeadline - before, head: before, rest: 50 * time.Second, status: http.StatusOK},
		"call due at the deadline, head in the stop":              {path: "/buy/x", wait: heldDeadline - within, head: within, rest: 50 * time.Second, status: http.StatusOK},
		"call likely to be answered by the deadline":              {path: "/look/x", wait: longCallerWait, head: before, rest: heldDeadline - 3*heldGoal, status: http.StatusOK},
		"call that has little time, complete late":                {path: "/look/x", wait: heldDeadline - before, head: before, rest: 55 * time.Second, status: http.StatusOK},
		"body without an end, due before the deadline":            {path: "/buy/x", wait: 30 * time.Second, head: before, rest: noRest, status: http.StatusServiceUnavailable, refusedAt: 29 * time.Second},
		"fragile body without an end, due before the deadline":    {path: "/fragile/x", wait: 30 * time.Second, head: before, rest: noRest, status: http.StatusServiceUnavailable, refusedAt: 29 * time.Second},
		"repeatable body without an end, due before the deadline": {path: "/look/x", wait: 50 * time.Second, head: before, rest: noRest, status: http.StatusServiceUnavailable, refusedAt: 49 * time.Second},
	}
	late = map[string]heldBody{
		"call, complete after the window":                   {path: "/buy/x", wait: longCallerWait, head: before, rest: heldWindow + tick, refusedAt: heldWindow},
		"call, complete after the window, head in the stop": {path: "/buy/x", wait: longCallerWait, head: within, rest: heldWindow + tick, refusedAt: heldWindow},
		"stream, complete after the window":                 {path: "/tell/x", wait: longCallerWait, head: before, rest: heldWindow + tick, refusedAt: heldWindow},
		"stream, complete at the end":                       {path: "/tell/x", wait: longCallerWait, head: before, rest: heldDeadline - tick, refusedAt: heldWindow},
		"fragile stream, complete in the stop":              {path: "/fragile/x", wait: longCallerWait, head: before, rest: tick, refusedAt: 0},
		"call due after the deadline":                       {path: "/buy/x", wait: heldDeadline - before + tick, head: before, rest: 50 * time.Second, refusedAt: heldWindow},
		"fragile stream due after the deadline":             {path: "/fragile/x", wait: heldDeadline - before + tick, head: before, rest: 50 * time.Second, refusedAt: 0},
		"call unlikely to be answered by the deadline":      {path: "/look/x", wait: longCallerWait, head: before, rest: heldDeadline - 3*heldGoal + tick, refusedAt: heldDeadline - 3*heldGoal},
		"call without an end":                               {path: "/buy/x", wait: longCallerWait, head: before, rest: noRest, refusedAt: heldWindow},
		"call without an end, head in the stop":             {path: "/buy/x", wait: longCallerWait, head: within, rest: noRest, refusedAt: heldWindow},
		"stream without an end":                             {path: "/tell/x", wait: longCallerWait, head: before, rest: noRest, refusedAt: heldWindow},
		"fragile stream without an end":                     {path: "/fragile/x", wait: longCallerWait, head: before, rest: noRest, refusedAt: 0},
		"repeatable call without an end":                    {path: "/look/x", wait: longCallerWait, head: before, rest: noRest, refusedAt: heldDeadline - 3*heldGoal},
	}
	for name, h := range late {
		h.status = http.StatusServiceUnavailable
		late[name] = h
	}
	return inTime, late
}

// heldFramings returns the header lines of a body and how its two parts are sent.
func heldFramings() map[string][3]string {
	return map[string][3]string{
		"by length": {"Content-Length: 4", "bo", "dy"},
		"in chunks": {"Transfer-Encoding: chunked", "2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"},
	}
}

// Guards against refusals of requests whose bodies are complete just before a stopping node does not take them any more.
func TestHeldBodyIsRefusedInTime(t *testing.T) {
	inTime, _ := heldBodies()
	playHeldBodies(t, inTime)
}

// Guards against requests that run, or get no answer, whose bodies are complete just after a stopping node does not take them any more, or never.
func TestHeldBodyIsTakenLate(t *testing.T) {
	_, late := heldBodies()
	playHeldBodies(t, late)
}

func playHeldBodies(t *testing.T, cases map[string]heldBody) {
	for name, tc := range cases {
		for framed, parts := range heldFramings() {
			t.Run(name+", "+framed, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tc.play(t, parts) })
			})
		}
	}
}

// play sends the request around a stop and checks its answer, when a refusal came, and that a refused request was not sent on.
func (h heldBody) play(t *testing.T, parts [3]string) {
	sender := &countingSender{}
	s := newDrainSetup(t, sender, nil)
	s.tables.set(2, tellRoute, buyRoute, fragileRoute, lookRoute)
	stop := time.Now().Add(max(-h.head, 0))
	deadline := stop.Add(heldDeadline)
	first := fmt.Sprintf(requestHead, h.path, h.wait, parts[0]) + parts[1]
	go func() {
		time.Sleep(time.Until(stop))
		s.gateway.Stop(gateway.StopPlan{Since: stop, Deadline: deadline, ReroutingDelay: notReadyPropagation, LongRequestWindow: heldWindow})
		s.server.DisableKeepAlives()
	}()
	time.Sleep(time.Until(stop.Add(h.head)))
	conn := s.dial(t, first)
	if h.rest != noRest {
		rest := time.AfterFunc(time.Until(stop.Add(h.rest)), func() { _, _ = io.WriteString(conn, parts[2]) })
		defer rest.Stop()
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err, must.Sprintf("after %v, %d runs", time.Since(stop), sender.sent.Load()))
	must.EqOp(t, h.status, res.StatusCode)
	if h.status == http.StatusOK {
		must.EqOp(t, 1, sender.sent.Load())
		_ = conn.Close()
		return
	}
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.NotEqOp(t, "", string(body))
	must.NotEqOp(t, "", res.Header.Get("Retry-After"))
	must.EqOp(t, 0, sender.sent.Load())
	must.Between(t, h.refusedAt, time.Since(stop), h.refusedAt+tick)
}

// Guards against a stop that is late, or waits for nobody, because callers hold back their bodies: those who have read their refusal and close end it, those
// who go on sending do not hold it up beyond its deadline.
func TestStopWithHeldBodiesEndsInItsTime(t *testing.T) {
	const callers = 30
	cases := map[string]struct {
		close    bool
		from, to time.Duration // when the stop ends
	}{
		"callers close once they are refused": {true, heldWindow, heldWindow + time.Second},
		"callers go on":                       {false, heldDeadline, heldDeadline + finalAnswerTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDrainSetup(t, &countingSender{}, nil)
				began := time.Now()
				deadline := began.Add(heldDeadline)
				for range callers {
					conn := s.dial(t, fmt.Sprintf(requestHead, "/tell/x", longCallerWait, "Content-Length: 4")+"bo")
					go func() {
						res, err := http.ReadResponse(bufio.NewReader(conn), nil)
						if err == nil && res.StatusCode == http.StatusServiceUnavailable && tc.close {
							_ = conn.Close()
						}
					}()
				}
				synctest.Wait()
				s.gateway.Stop(gateway.StopPlan{Since: began, Deadline: deadline, ReroutingDelay: notReadyPropagation, LongRequestWindow: heldWindow})
				must.EqOp(t, 0, drainServer(t.Context(), s.server, s.relay, deadline))
				must.Between(t, tc.from, time.Since(began), tc.to)
			})
		})
	}
}
