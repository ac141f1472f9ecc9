package failover

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
)

// TestCallerChangesNodes has a caller lose its connection to the node that runs its request, and ask another node.
//
// Its owner ended a session before it was known whether the next one could go on with its run. Answers in one body were begun again, and those that may run at
// most once were refused, as were streams before their first token.
func TestCallerChangesNodes(t *testing.T) {
	cases := map[string]struct {
		stream, repeatable bool
		leaves             time.Duration // after which the caller changes nodes
		left               time.Duration // that the caller has then
		fault              peerFault     // of the first node from then on
	}{
		"answer in one body":                     {false, true, 5 * time.Second, 6 * time.Second, 0},
		"answer in one body, at most once":       {false, false, 5 * time.Second, 6 * time.Second, 0},
		"before the first token":                 {true, true, 2 * time.Second, 9 * time.Second, 0},
		"before the first token, at most once":   {true, false, 2 * time.Second, 9 * time.Second, 0},
		"within the stream":                      {true, true, 6 * time.Second, 5 * time.Second, 0},
		"within the stream, at most once":        {true, false, 6 * time.Second, 5 * time.Second, 0},
		"within the stream, owner gone":          {true, false, 6 * time.Second, 5 * time.Second, peerRefuses},
		"within the stream, owner silent":        {true, false, 6 * time.Second, 5 * time.Second, peerIsSilent},
		"within the stream, reply lost":          {true, false, 6 * time.Second, 5 * time.Second, peerLosesNext},
		"first tokens, reply lost":               {true, true, 4250 * time.Millisecond, 7 * time.Second, peerLosesNext},
		"first tokens, reply lost, at most once": {true, false, 4250 * time.Millisecond, 7 * time.Second, peerLosesNext},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "own", "other", "third")
				defer f.close()
				c := newTestCaller(f, tc.stream, tc.repeatable)
				must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", tc.leaves))
				f.spoil("own", tc.fault)
				must.EqOp(t, vaneyoke.CodeOK, c.ask(t, "other", tc.left))
				if tc.stream {
					must.EqOp(t, answerText(), c.text)
				}
				must.EqOp(t, 1, f.engine.count())
			})
		})
	}
}

// TestNodeStopsWhileACallerWaitsForTheOwner has the node stop at which a caller waits for an answer that goes on at its owner. The caller must get a final
// answer, and the whole answer at a third node.
func TestNodeStopsWhileACallerWaitsForTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "own", "other", "third")
		defer f.close()
		c := newTestCaller(f, false, false)
		must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", 3*time.Second))
		time.AfterFunc(2*time.Second, func() { f.nodes["other"].Release() })
		must.EqOp(t, vaneyoke.CodeMayHaveRun, c.ask(t, "other", 6*time.Second))
		must.EqOp(t, vaneyoke.CodeOK, c.ask(t, "third", 6*time.Second))
		must.EqOp(t, 1, f.engine.count())
	})
}

// TestOwnerStopsWhileACallerWaits has the owner of a session end while a caller waits for it at another node: what may run again is run again there, and
// the caller of anything else learns that it may have run.
func TestOwnerStopsWhileACallerWaits(t *testing.T) {
	for name, tc := range map[string]struct {
		repeatable bool
		code       vaneyoke.Code
		runs       int
	}{
		"repeatable":   {true, vaneyoke.CodeOK, 2},
		"at most once": {false, vaneyoke.CodeMayHaveRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "own", "other", "third")
				defer f.close()
				c := newTestCaller(f, false, tc.repeatable)
				must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", 3*time.Second))
				time.AfterFunc(2*time.Second, func() { f.nodes["own"].Release() })
				must.EqOp(t, tc.code, c.ask(t, "other", 20*time.Second))
				must.EqOp(t, tc.runs, f.engine.count())
			})
		})
	}
}

// TestConnectionsWaitForTheOwner has two connections of a caller wait at a node for an answer that goes on at its owner: both must get it.
func TestConnectionsWaitForTheOwner(t *testing.T) {
	for _, stream := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "own", "other", "third")
			defer f.close()
			must.EqOp(t, vaneyoke.CodeCallerGone, newTestCaller(f, stream, false).ask(t, "own", 2*time.Second))
			codes := make(chan vaneyoke.Code, 2)
			for range 2 {
				go func() { codes <- newTestCaller(f, stream, false).ask(t, "other", 11*time.Second) }()
				time.Sleep(time.Second)
			}
			must.EqOp(t, vaneyoke.CodeOK, <-codes)
			must.EqOp(t, vaneyoke.CodeOK, <-codes)
			must.EqOp(t, 1, f.engine.count())
		})
	}
}

// TestFinishedAnswerIsReadElsewhere reads an answer that ended while its caller was away at several nodes in turn.
//
// A finished answer keeps its epoch as it is handed over, so that the backup refuses the pushes of a node whose name comes before the owner's. The node then
// ended the answer that its caller was reading with "80 interrupted".
func TestFinishedAnswerIsReadElsewhere(t *testing.T) {
	for _, owner := range []vaneyoke.VMID{"a", "b", "c", "d"} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "a", "b", "c", "d")
			defer f.close()
			c := newTestCaller(f, true, false)
			must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, owner, 6*time.Second))
			time.Sleep(5 * time.Second)
			for _, vm := range []vaneyoke.VMID{"a", "b", "c", "d", "a"} {
				again := *c
				must.EqOp(t, vaneyoke.CodeOK, again.ask(t, vm, 5*time.Second), must.Sprint(owner, " ", vm))
				must.EqOp(t, answerText(), again.text)
				must.EqOp(t, 1, f.engine.count())
			}
		})
	}
}

// TestOwnerIsSilentForAMoment has nodes that hold an answer be silent, or not be reached, as its caller asks another node, and go on a second later.
//
// The node concluded after one question that no node holds the answer: the caller got "81 may_have_run" or "82 answer_lost", neither of which it may repeat.
func TestOwnerIsSilentForAMoment(t *testing.T) {
	const goneForGood = time.Hour
	cases := map[string]struct {
		stream, repeatable bool
		leaves             time.Duration // after which the caller changes nodes
		fault              peerFault
		pause              time.Duration
		code               vaneyoke.Code
	}{
		"answer in one body, at most once":          {false, false, 5 * time.Second, peerIsSilent, time.Second, vaneyoke.CodeOK},
		"answer in one body, at most once, refuses": {false, false, 5 * time.Second, peerRefuses, time.Second, vaneyoke.CodeOK},
		"within the stream":                         {true, true, 6 * time.Second, peerIsSilent, time.Second, vaneyoke.CodeOK},
		"within the stream, at most once":           {true, false, 6 * time.Second, peerIsSilent, time.Second, vaneyoke.CodeOK},
		"within the stream, refuses":                {true, true, 6 * time.Second, peerRefuses, time.Second, vaneyoke.CodeOK},
		"at most once, gone":                        {false, false, 5 * time.Second, peerRefuses, goneForGood, vaneyoke.CodeMayHaveRun},
		"within the stream, gone":                   {true, true, 6 * time.Second, peerRefuses, goneForGood, vaneyoke.CodeAnswerLost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "own", "other", "third")
				defer f.close()
				backup, ok := f.nodes["own"].backup(nil)
				must.True(t, ok)
				asked := lo.Ternary[vaneyoke.VMID](backup.VM == "other", "third", "other")
				c := newTestCaller(f, tc.stream, tc.repeatable)
				must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", tc.leaves))
				for _, vm := range []vaneyoke.VMID{"own", backup.VM} {
					f.spoil(vm, tc.fault)
					time.AfterFunc(tc.pause, func() { f.spoil(vm, 0) })
				}
				if tc.pause == goneForGood {
					f.nodes["own"].stop()
				}
				began := time.Now()
				must.EqOp(t, tc.code, c.ask(t, asked, 6*time.Second))
				if tc.code == vaneyoke.CodeOK && tc.stream {
					must.EqOp(t, answerText(), c.text)
				}
				if tc.code != vaneyoke.CodeOK {
					must.LessEq(t, 4*time.Second, time.Since(began))
				}
				must.EqOp(t, 1, f.engine.count())
			})
		})
	}
}

// TestOwnerIsSilentWhileACallerWaits has the owner of a session be silent for a second while a caller waits for it at another node.
func TestOwnerIsSilentWhileACallerWaits(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "own", "other", "third")
			defer f.close()
			c := newTestCaller(f, false, repeatable)
			must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", 3*time.Second))
			time.AfterFunc(2*time.Second, func() { f.spoil("own", peerIsSilent) })
			time.AfterFunc(3*time.Second, func() { f.spoil("own", 0) })
			must.EqOp(t, vaneyoke.CodeOK, c.ask(t, "other", 8*time.Second))
			must.EqOp(t, 1, f.engine.count())
		})
	}
}

// TestStopsOverlap has nodes stop shortly one after another that run an answer, hold its journal, or have just taken it over.
func TestStopsOverlap(t *testing.T) {
	cases := map[string]func(f *testFleet, c *testCaller, t *testing.T) (asked vaneyoke.VMID){
		"the taker stops as well": func(f *testFleet, c *testCaller, t *testing.T) vaneyoke.VMID {
			f.gone("own")
			time.AfterFunc(500*time.Millisecond, func() { f.gone("b") })
			must.EqOp(t, vaneyoke.CodeInterrupted, c.ask(t, "b", time.Second))
			return "c"
		},
		"the taker stops as it takes over": func(f *testFleet, c *testCaller, t *testing.T) vaneyoke.VMID {
			time.AfterFunc(2*time.Millisecond, func() { f.gone("b") })
			must.EqOp(t, vaneyoke.CodeInterrupted, c.ask(t, "b", time.Second))
			return "c"
		},
		"the backup stops before the owner": func(f *testFleet, c *testCaller, t *testing.T) vaneyoke.VMID {
			backup, _ := f.nodes["own"].backup(nil)
			f.gone(backup.VM)
			must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", time.Second))
			f.gone("own")
			return lo.Ternary[vaneyoke.VMID](backup.VM == "c", "d", "c")
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "own", "b", "c", "d")
				defer f.close()
				c := newTestCaller(f, true, false)
				must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", 6*time.Second))
				must.EqOp(t, vaneyoke.CodeOK, c.ask(t, tc(f, c, t), 5*time.Second))
				must.EqOp(t, answerText(), c.text)
				must.EqOp(t, 1, f.engine.count())
			})
		})
	}
}

// TestReplyIsLostWithoutABackup hands a session over that has no backup, and loses the reply.
//
// Its owner had ended it, and no node held it any more: the caller got "82 answer_lost".
func TestReplyIsLostWithoutABackup(t *testing.T) {
	for name, leaves := range map[string]time.Duration{"within the stream": 6 * time.Second, "before its caller has any of it": 4001 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "own", "other")
				defer f.close()
				f.spoil("other", peerRefuses)
				c := newTestCaller(f, true, false)
				must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", leaves))
				f.spoil("other", 0)
				f.spoil("own", peerLosesNext)
				must.EqOp(t, vaneyoke.CodeOK, c.ask(t, "other", 7*time.Second))
				must.EqOp(t, answerText(), c.text)
				must.EqOp(t, 1, f.engine.count())
			})
		})
	}
}

// Guards against sessions that are kept without a bound where many callers change nodes at once.
func TestHandedOverSessionsTakeTheNodesMemory(t *testing.T) {
	m, now := &Manager{givenUp: map[journal.Key]givenUp{}}, time.Unix(1000, 0)
	for i := range 1000 {
		m.keepGivenUp(now, journal.Key{Workspace: "w", Key: fmt.Sprint(i)}, journal.Delta{})
	}
	must.MapLen(t, maxGivenUp, m.givenUp)
	m.dropGivenUp(now.Add(givenUpRetention + 1))
	must.MapEmpty(t, m.givenUp)
}

// TestRefusedCursorLosesTheAnswer has another connection ask another node with a cursor of another answer, while a caller reads the answer at its owner. The
// caller must be able to resume it.
func TestRefusedCursorLosesTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "own", "other", "third")
		defer f.close()
		c := newTestCaller(f, true, false)
		code := make(chan vaneyoke.Code, 1)
		go func() { code <- c.ask(t, "own", 20*time.Second) }()
		time.Sleep(6 * time.Second)
		wrong := newTestCaller(f, true, false)
		wrong.cursor = f.nodes["own"].keyring.Encode(cursor.Cursor{Workspace: "w", Request: "another", Owner: "own", Offset: 3, Digest: 1})
		must.EqOp(t, vaneyoke.CodeAnswerLost, wrong.ask(t, "other", time.Second))
		must.EqOp(t, vaneyoke.CodeSuperseded, <-code)
		must.EqOp(t, vaneyoke.CodeOK, c.ask(t, "third", 5*time.Second))
		must.EqOp(t, answerText(), c.text)
		must.EqOp(t, 1, f.engine.count())
	})
}

// TestAbandonedRunEndsTheOneThatFollows has a request be begun again, as its owner is not reached, which later abandons its own run of it.
//
// Both runs had the same name at the engine, so that the one which the caller was reading was canceled.
func TestAbandonedRunEndsTheOneThatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "own", "other", "third")
		defer f.close()
		f.nodes["own"].config.Linger = 2 * time.Second
		c := newTestCaller(f, true, true)
		must.EqOp(t, vaneyoke.CodeCallerGone, c.ask(t, "own", 2*time.Second))
		f.spoil("own", peerRefuses)
		must.EqOp(t, vaneyoke.CodeOK, c.ask(t, "other", 11*time.Second))
		must.EqOp(t, answerText(), c.text)
		must.EqOp(t, 2, f.engine.count())
	})
}
