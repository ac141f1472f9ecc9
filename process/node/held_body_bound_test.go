package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/gateway"
)

// Guards against requests that get no answer because the last byte of their body comes at the very moment of a stop or of a bound of it.
func TestBodyThatIsCompleteAsABoundPassesGetsNoAnswer(t *testing.T) {
	cases := map[string]heldBody{
		"fragile, at the stop":           {path: "/fragile/x", wait: longCallerWait, head: -time.Second, rest: 0},
		"stream, at the stop":            {path: "/tell/x", wait: longCallerWait, head: -time.Second, rest: 0},
		"call, at the end of the window": {path: "/buy/x", wait: longCallerWait, head: -time.Second, rest: heldWindow},
		"call, at its likely time":       {path: "/look/x", wait: longCallerWait, head: -time.Second, rest: heldDeadline - 3*heldGoal},
		"call, at its caller's time":     {path: "/buy/x", wait: 31 * time.Second, head: -time.Second, rest: 30 * time.Second},
	}
	for name, h := range cases {
		for framed, parts := range heldFramings() {
			t.Run(name+", "+framed, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sender := &countingSender{}
					s := newDrainSetup(t, sender, nil)
					s.tables.set(2, tellRoute, buyRoute, fragileRoute, lookRoute)
					stop := time.Now().Add(-h.head)
					time.AfterFunc(time.Until(stop), func() {
						s.gateway.Stop(gateway.StopPlan{Since: stop, Deadline: stop.Add(heldDeadline), ReroutingDelay: notReadyPropagation, LongRequestWindow: heldWindow})
						s.server.DisableKeepAlives()
					})
					conn := s.dial(t, fmt.Sprintf(requestHead, h.path, h.wait, parts[0])+parts[1])
					rest := time.AfterFunc(time.Until(stop.Add(h.rest)), func() { _, _ = io.WriteString(conn, parts[2]) })
					defer rest.Stop()
					res, err := http.ReadResponse(bufio.NewReader(conn), nil)
					must.NoError(t, err, must.Sprintf("%d runs", sender.sent.Load()))
					switch res.StatusCode {
					case http.StatusOK:
						must.EqOp(t, 1, sender.sent.Load())
						_ = conn.Close()
					case http.StatusServiceUnavailable:
						_, err = io.ReadAll(res.Body)
						must.NoError(t, err)
						must.EqOp(t, 0, sender.sent.Load())
					default:
						must.Unreachable(t, must.Sprint(res.Status))
					}
				})
			})
		}
	}
}
