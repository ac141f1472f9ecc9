package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/gateway"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/route"
)

// fullUpstream is a placer with a single upstream, which has no room for prompts until it is set.
type fullUpstream struct {
	oneUpstream
	hasRoom *atomic.Bool
}

func (f fullUpstream) HasRoom(placement.Need) bool { return f.hasRoom.Load() }

const (
	promptKey    = "key-1"
	promptHead   = "POST %s HTTP/1.1\r\nHost: h\r\nId: r\r\nWait: 10m\r\nKey: " + promptKey + "\r\nPrompt: p\r\nContent-Length: 4\r\n\r\nbody"
	roomInterval = time.Second // two checks for room are not further apart
)

// promptRoutes are the routes of prompts that wait.
func promptRoutes() []route.Route {
	routes := []route.Route{tellRoute, fragileRoute}
	for i := range routes {
		routes[i].Targets = slices.Clone(routes[i].Targets)
	}
	return routes
}

func workspaceWith(key string) []route.Workspace {
	return []route.Workspace{{ID: "w", Keys: []string{key}}}
}

// waitingPrompt is a whole prompt that waits for an upstream with room.
type waitingPrompt struct {
	*drainSetup
	sender  *countingSender
	hasRoom atomic.Bool
	reader  *bufio.Reader
}

func newWaitingPrompt(t *testing.T, path string) *waitingPrompt {
	w := &waitingPrompt{sender: &countingSender{}}
	w.drainSetup = newDrainSetupWith(t, w.sender, fullUpstream{hasRoom: &w.hasRoom}, nil)
	w.tables.setWith(2, workspaceWith(promptKey), promptRoutes()...)
	w.reader = bufio.NewReader(w.dial(t, fmt.Sprintf(promptHead, path)))
	time.Sleep(2 * roomInterval)
	must.EqOp(t, 0, w.sender.sent.Load())
	return w
}

// mustGet checks the answer once there is room, and that a refused prompt is not sent.
func (w *waitingPrompt) mustGet(t *testing.T, status int) {
	w.hasRoom.Store(true)
	res, err := http.ReadResponse(w.reader, nil)
	must.NoError(t, err)
	must.EqOp(t, status, res.StatusCode)
	if status == http.StatusOK {
		must.EqOp(t, 1, w.sender.sent.Load())
		return
	}
	_, err = io.ReadAll(res.Body)
	must.NoError(t, err)
	must.EqOp(t, status == http.StatusServiceUnavailable, res.Header.Get("Retry-After") != "")
	time.Sleep(2 * roomInterval)
	must.EqOp(t, 0, w.sender.sent.Load())
}

// Guards against prompts that are sent late in a stop, since they were taken before they waited for room, and against refusals of those for which there is
// room in time.
func TestWaitingPromptBeginsLateInAStop(t *testing.T) {
	cases := map[string]struct {
		path   string
		room   time.Duration // after the stop was requested
		status int
	}{
		"room before the stop takes no more":          {"/tell/x", heldWindow - 2*roomInterval, http.StatusOK},
		"room after that":                             {"/tell/x", heldWindow, http.StatusServiceUnavailable},
		"room at the end":                             {"/tell/x", heldDeadline - 2*roomInterval, http.StatusServiceUnavailable},
		"fragile, room at once":                       {"/fragile/x", 0, http.StatusServiceUnavailable},
		"fragile, room before the stop takes no more": {"/fragile/x", heldWindow - 2*roomInterval, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWaitingPrompt(t, tc.path)
				now := time.Now()
				w.gateway.Stop(gateway.StopPlan{Since: now, Deadline: now.Add(heldDeadline), ReroutingDelay: notReadyPropagation, LongRequestWindow: heldWindow})
				time.Sleep(tc.room)
				w.mustGet(t, tc.status)
			})
		})
	}
}

// Guards against prompts that run as an older configuration allows, since they waited for room while another one came in force, and against refusals for
// changes that are not theirs.
func TestWaitingPromptRunsAfterAChange(t *testing.T) {
	cases := map[string]struct {
		change func(w *waitingPrompt)
		status int
	}{
		"nothing":                  {func(*waitingPrompt) {}, http.StatusOK},
		"a new version":            {func(w *waitingPrompt) { w.tables.setWith(3, workspaceWith(promptKey), promptRoutes()...) }, http.StatusOK},
		"another route is removed": {func(w *waitingPrompt) { w.tables.setWith(3, workspaceWith(promptKey), tellRoute) }, http.StatusOK},
		"the key is revoked":       {func(w *waitingPrompt) { w.tables.setWith(3, workspaceWith("key-2"), promptRoutes()...) }, http.StatusUnauthorized},
		"the route is removed":     {func(w *waitingPrompt) { w.tables.setWith(3, workspaceWith(promptKey), fragileRoute) }, http.StatusNotFound},
		"the route is moved": {func(w *waitingPrompt) {
			routes := promptRoutes()
			routes[0].Targets[0].Service = "s2"
			w.tables.setWith(3, workspaceWith(promptKey), routes...)
		}, http.StatusServiceUnavailable},
		"the key is another workspace's": {func(w *waitingPrompt) {
			w.tables.setWith(3, []route.Workspace{{ID: "w2", Keys: []string{promptKey}}}, promptRoutes()...)
		}, http.StatusServiceUnavailable},
		"the route may not be repeated any more": {func(w *waitingPrompt) {
			routes := promptRoutes()
			routes[0].Resumable = false
			w.tables.setWith(3, workspaceWith(promptKey), routes...)
		}, http.StatusServiceUnavailable},
		"its time is over": {func(w *waitingPrompt) {
			routes := promptRoutes()
			routes[0].Timeout = roomInterval
			w.tables.setWith(3, workspaceWith(promptKey), routes...)
		}, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWaitingPrompt(t, "/tell/x")
				tc.change(w)
				w.mustGet(t, tc.status)
			})
		})
	}
}
