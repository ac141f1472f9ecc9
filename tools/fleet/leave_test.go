package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// TestNodeLeavesAfterStoreRecovers guards against a stopping node that stays in the list of members because the store failed its first attempt
// to leave. The store recovers before the grace period ends.
func TestNodeLeavesAfterStoreRecovers(t *testing.T) {
	f := startMembers(t, 3, func(s *settings.Settings) { s.Node.Grace, s.Platform.Poll = 6*time.Second, time.Second })
	f.Platform.SetTableDown(true)
	stopped := stopFirstNode(t, f)
	time.Sleep(time.Second)
	f.Platform.SetTableDown(false)
	must.NoError(t, stopped())
	must.SliceNotContains(t, f.Platform.RowIDs("node"), "vm-0")
}

// pausePlatform makes the store hang, so that a stopping node takes the maximum time to leave the list of members.
func pausePlatform(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	postFault(t, f.Platform.URL(), `{"fault":"pause"}`)
	t.Cleanup(func() { postFault(t, f.Platform.URL(), `{"fault":"continue"}`) })
}

// TestLeavingNodeSendsCompleteRefusal checks that a node answers requests with a refusal, and not with a closed connection, while it only waits
// to leave the list of members.
func TestLeavingNodeSendsCompleteRefusal(t *testing.T) {
	const restDelay = 2500 * time.Millisecond // the node has left the list of members by then
	for name, splitBody := range map[string]bool{"whole": false, "rest of the body comes late": true} {
		for kind, kept := range map[string]bool{"new connection": false, "kept connection": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				f := startMembers(t, 2, func(s *settings.Settings) { s.Node.Grace = 6 * time.Second })
				l, err := dial(t.Context(), f.Nodes[0].URL())
				must.NoError(t, err)
				defer func() { _ = l.Close() }()
				if kept {
					raw, _ := rawReserve("before")
					got, err := l.roundTrip(raw)
					must.NoError(t, err)
					must.EqOp(t, http.StatusOK, got.status)
				}
				pausePlatform(t, f)
				began := time.Now()
				stopped := stopFirstNode(t, f)
				time.Sleep(300 * time.Millisecond)
				raw, bodyAt := rawReserve("late")
				if splitBody {
					_, err = l.Write(raw[:bodyAt+1])
					must.NoError(t, err)
					time.Sleep(time.Until(began.Add(restDelay)))
					raw = raw[bodyAt+1:]
				}
				got, err := l.roundTrip(raw)
				must.NoError(t, err, must.Sprint("the connection was closed without an answer"))
				must.EqOp(t, vaneyoke.CodeStopping.Info().Name, got.failure.Type)
				must.NoError(t, stopped())
				must.MapNotContainsKey(t, f.Services[0].Orders(), "late")
			})
		}
	}
}

// TestLeavingNodeAnnouncesConnectionClose sends requests over kept-alive connections until the node has stopped. Each connection may close only
// after an answer that announces it.
func TestLeavingNodeAnnouncesConnectionClose(t *testing.T) {
	const callers = 8
	f := startMembers(t, 2, func(s *settings.Settings) { s.Node.Grace = 5 * time.Second })
	pausePlatform(t, f)
	var lostOnKept, lostOnNew, answers atomic.Int64
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			raw, _ := rawReserve(fmt.Sprint(i))
			for {
				l, err := dial(t.Context(), f.Nodes[0].URL())
				if err != nil {
					return
				}
				for first := true; first || l.keptAlive; first = false {
					if _, err := l.roundTrip(raw); err == nil {
						answers.Add(1)
						continue
					}
					if l.keptAlive {
						lostOnKept.Add(1)
					} else {
						lostOnNew.Add(1)
					}
					break
				}
				_ = l.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, stopFirstNode(t, f)())
	wait.Wait()
	t.Logf("%d answers; closed without an answer: %d requests on kept-alive connections, %d on new ones", answers.Load(), lostOnKept.Load(), lostOnNew.Load())
	must.Positive(t, answers.Load())
	must.Zero(t, lostOnKept.Load())
}

// TestNodeLeavesWhenCallOutlastsGrace guards against a member that does not leave the list of members because a call uses up its grace period.
// The last two seconds of the period are reserved for leaving. With a period of one second it was a third of it, less than the timeout of a call to the store.
func TestNodeLeavesWhenCallOutlastsGrace(t *testing.T) {
	const grace = 6 * time.Second
	f := startMembers(t, 3, func(s *settings.Settings) {
		s.Node.Grace, s.Limits.CallSilence, s.Platform.Poll = grace, time.Hour, time.Second
	})
	f.Services[0].SetDelay(time.Hour)
	l, err := dial(t.Context(), f.Nodes[0].URL())
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	raw, _ := rawReserve("a")
	_, err = l.Write(raw)
	must.NoError(t, err)
	waitRunning(t, f)
	began := time.Now()
	_ = stopFirstNode(t, f)()
	must.LessEq(t, grace+time.Second, time.Since(began))
	must.SliceNotContains(t, f.Platform.RowIDs("node"), "vm-0")
}
