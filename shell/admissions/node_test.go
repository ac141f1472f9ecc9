package admissions_test

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
)

// bench is a node, its log and an upstream with room or without.
type bench struct {
	*admissions.Node
	log     *test.Hook
	vars    *expvar.Map
	free    atomic.Bool
	looks   atomic.Int32 // assessments so far
	looking atomic.Int32 // under way
	most    atomic.Int32 // under way at the same time
}

func newBench(mode admission.Mode) *bench {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	b := &bench{log: hook, vars: new(expvar.Map).Init()}
	b.Node = admissions.New(admission.Config{MaxQueued: 10, MaxBytes: 1 << 20}, pacing.New(), admissions.NewMetrics(b.vars), log)
	b.SetMode("lm", mode)
	return b
}

// assess takes a network's time.
func (b *bench) assess(context.Context) admission.Room {
	b.looks.Add(1)
	if n := b.looking.Add(1); n > b.most.Load() {
		b.most.Store(n)
	}
	defer b.looking.Add(-1)
	time.Sleep(10 * time.Millisecond)
	return admission.Room{Free: b.free.Load()}
}

func (b *bench) acquire(ctx context.Context, id vaneyoke.RequestID, within time.Duration) error {
	now := steady.Now()
	return b.Acquire(ctx, admission.Request{
		ID: id, Service: "lm", Route: "chat", Workspace: "a", Prompt: 1000, Received: now, Goal: now.Add(4 * time.Second), Deadline: now.Add(within), Bytes: 10,
	}, b.assess)
}

func (b *bench) logged(event string) []logrus.Fields {
	var fields []logrus.Fields
	for _, e := range b.log.AllEntries() {
		if e.Message == event {
			fields = append(fields, e.Data)
		}
	}
	return fields
}

// TestManyWaitAndOneAsks has ten requests with the same id wait for room: one assessment is under way at a time, and all are sent once there is room.
func TestManyWaitAndOneAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(admission.ModeRanked)
		defer b.Close()
		startedAt := time.Now()
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() { must.NoError(t, b.acquire(t.Context(), "r", 20*time.Second)) })
		}
		time.Sleep(3 * time.Second)
		must.EqOp(t, 1, b.most.Load())
		must.Between(t, 7, b.looks.Load(), 9)
		must.EqOp(t, 10, b.Queues().Services[0].Waiting[0].Requests)
		b.free.Store(true)
		b.RunEnded("lm", 1000)
		callers.Wait()
		must.Between(t, 3*time.Second, time.Since(startedAt), 3200*time.Millisecond)
		must.Len(t, 10, b.logged("room_awaited"))
		must.EqOp(t, `{"admitted": 10}`, b.vars.Get("admission").(*expvar.Map).Get("decisions_total").String())
	})
}

// TestRejectionIsToldAndLogged has no upstream free until the caller's time is over.
func TestRejectionIsToldAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(admission.ModeRanked)
		defer b.Close()
		err := b.acquire(t.Context(), "r", 2*time.Second)
		must.EqOp(t, vaneyoke.CodeOverloaded, vaneyoke.CodeOf(err))
		must.EqOp(t, pacing.MinRetryAfter, vaneyoke.RetryAfterOf(err)) // a third of what is left is less
		logged := b.logged("request_rejected")
		must.Len(t, 1, logged)
		must.EqOp(t, "r", fmt.Sprint(logged[0]["request"]))
		must.EqOp(t, "hopeless", fmt.Sprint(logged[0]["reason"]))
		must.Between(t, 1500, logged[0]["waited_ms"].(int64), 2000)
		must.EqOp(t, `{"chat hopeless": 1}`, b.vars.Get("admission").(*expvar.Map).Get("rejected_total").String())
		must.SliceNotEmpty(t, b.Demands(steady.Now()))
	})
}

// TestCallerLeavesTheQueue has the caller of the request that is assessed leave, and then that of one that waits.
func TestCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(admission.ModeRanked)
		defer b.Close()
		ctx, leave := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for i := range 3 {
			callers.Go(func() {
				must.EqOp(t, vaneyoke.CodeCallerGone, vaneyoke.CodeOf(b.acquire(ctx, vaneyoke.RequestID(fmt.Sprint(i)), 20*time.Second)))
			})
		}
		time.Sleep(405 * time.Millisecond) // in the second assessment
		leave()
		callers.Wait()
		synctest.Wait()
		must.SliceEmpty(t, b.Queues().Services[0].Waiting)
		b.free.Store(true)
		must.NoError(t, b.acquire(t.Context(), "next", 20*time.Second))
	})
}

// TestFleetAndOperatorsAreHeard passes on what others want and what operators order.
func TestFleetAndOperatorsAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(admission.ModeRanked)
		defer b.Close()
		b.free.Store(true)
		b.UpdateShares(share.Totals{MeasuredAt: steady.Now(), Nodes: 2, Services: map[vaneyoke.ServiceID]share.ServiceTotals{
			"lm": {Urgencies: map[share.Urgency]share.Flow{-1: {Waiting: 1000}}},
		}})
		startedAt := time.Now()
		must.NoError(t, b.acquire(t.Context(), "r", 20*time.Second))
		must.Between(t, 3*time.Second, time.Since(startedAt), 4*time.Second) // once nothing is heard any more
		b.SetCaps([]admission.Cap{{Workspace: "a"}})
		must.EqOp(t, vaneyoke.CodeOverloaded, vaneyoke.CodeOf(b.acquire(t.Context(), "r", 20*time.Second)))
		must.EqOp(t, "capped", fmt.Sprint(b.logged("request_rejected")[0]["reason"]))
	})
}

// TestPassiveRequestIsSentByForce has no upstream free for half of the caller's time.
func TestPassiveRequestIsSentByForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(admission.ModePassive)
		defer b.Close()
		startedAt := time.Now()
		must.NoError(t, b.acquire(t.Context(), "r", 10*time.Second))
		must.Between(t, 4500*time.Millisecond, time.Since(startedAt), 5*time.Second)
		must.False(t, b.logged("room_awaited")[0]["room"].(bool))
	})
}
