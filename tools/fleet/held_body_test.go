package fleet_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// heldHead is given to a node for reading a head; there is no sign that it has read one.
const heldHead = 200 * time.Millisecond

// heldBody is a request to a node with the caller API whose body is held back.
type heldBody struct{ first, rest string }

// heldBodies returns a call and a generation, in both framings.
func heldBodies() map[string]heldBody {
	const call, generation = `{"order":"held"}`, `{"model":"reconcile-1","messages":[{"role":"user","content":"say length=5"}]}`
	head := func(path, line string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", path, fleet.CallerKey, line)
	}
	bodies := map[string]heldBody{}
	for path, body := range map[string]string{"/v1/services/" + string(fleet.Service) + "/reserve": call, openai.PathChat: generation} {
		bodies[path+", length"] = heldBody{head(path, fmt.Sprint("Content-Length: ", len(body))) + body[:1], body[1:]}
		bodies[path+", chunks"] = heldBody{head(path, "Transfer-Encoding: chunked") + "1\r\n" + body[:1] + "\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body[1:])}
	}
	return bodies
}

// send sends the first part of the request.
func (h heldBody) send(t *testing.T, f *fleet.Fleet) *nodeConn {
	l, err := dial(t.Context(), f.Nodes[0].URL())
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	_, err = l.Write([]byte(h.first))
	must.NoError(t, err)
	return l
}

// mustHaveRun checks how many calls and generations have run.
func mustHaveRun(t *testing.T, f *fleet.Fleet, calls int) {
	t.Helper()
	must.MapLen(t, calls, f.Services[0].Orders())
	must.Zero(t, totalRuns(f))
}

// Guards against requests that run although the node stops by the time that their bodies are complete.
func TestHeldBodyRunsAtAStoppingNode(t *testing.T) {
	for name, h := range heldBodies() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, func(c *fleet.Config) {
				c.AdjustSettings = func(s *settings.Settings) { withoutTimeouts(s); s.Node.Grace = 4 * time.Second }
			})
			l := h.send(t, f)
			time.Sleep(heldHead)
			stopped := stopFirstNode(t, f)
			time.Sleep(heldHead)
			_, _ = l.Write([]byte(h.rest)) // the node may have refused it before
			got, err := l.readReply()
			must.NoError(t, err)
			must.EqOp(t, http.StatusServiceUnavailable, got.status)
			must.EqOp(t, vaneyoke.CodeStopping.Info().Name, got.failure.Type)
			must.True(t, got.failure.NotRun)
			_ = l.Close()
			must.NoError(t, stopped())
			mustHaveRun(t, f, 0)
		})
	}
}

// Guards against callers who get no answer from a stopping node, and against a stop that waits for them until its grace ends, because their bodies are never
// complete.
func TestHeldBodyWithoutEndGetsNoAnswer(t *testing.T) {
	for name, h := range heldBodies() {
		for when, before := range map[string]bool{"before the stop": true, "in the stop": false} {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				f := start(t, func(c *fleet.Config) {
					c.AdjustSettings = func(s *settings.Settings) { withoutTimeouts(s); s.Node.Grace = 4 * time.Second }
				})
				calls := 0
				if !before { // a call keeps the node's address open
					calls = 1
					f.Services[0].SetDelay(1500 * time.Millisecond)
					raw, _ := rawReserve("open")
					open, err := dial(t.Context(), f.Nodes[0].URL())
					must.NoError(t, err)
					_, err = open.Write(raw)
					must.NoError(t, err)
					waitRunning(t, f)
				}
				var l *nodeConn
				if before {
					l = h.send(t, f)
					time.Sleep(heldHead)
				}
				stopped := stopFirstNode(t, f)
				if !before {
					l = h.send(t, f)
				}
				got, err := l.readReply()
				must.NoError(t, err, must.Sprint("the connection was closed without an answer"))
				must.EqOp(t, http.StatusServiceUnavailable, got.status)
				must.EqOp(t, vaneyoke.CodeStopping.Info().Name, got.failure.Type)
				_ = l.Close()
				must.NoError(t, stopped())
				mustHaveRun(t, f, calls)
			})
		}
	}
}
