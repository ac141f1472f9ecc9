package steady_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// TestClockCountsSuspensions suspends a VM twice. Small differences between the readings are not suspensions, and the clock never goes back.
func TestClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bootOffset atomic.Int64
		bootOffset.Store(int64(7 * time.Hour)) // before the process started
		clock := steady.New(func() time.Duration { return time.Duration(bootOffset.Load()) })
		began := clock.Now()
		ctx, stop := context.WithCancel(t.Context())
		var resumed []time.Duration
		done := make(chan struct{})
		go func() {
			clock.Watch(ctx, 100*time.Millisecond, func(d time.Duration) { resumed = append(resumed, d) })
			close(done)
		}()
		pass := func(by time.Duration) {
			bootOffset.Add(int64(by))
			time.Sleep(time.Second)
			synctest.Wait()
		}
		pass(300 * time.Microsecond)
		pass(-300 * time.Microsecond)
		must.EqOp(t, 0, clock.Suspended())
		pass(5 * time.Second)
		pass(-200 * time.Microsecond)
		pass(2 * time.Second)
		stop()
		<-done
		must.Len(t, 2, resumed)
		must.EqOp(t, 5*time.Second, resumed[0])
		must.EqOp(t, 5*time.Second+5*time.Second+resumed[1], clock.Now().Sub(began))
	})
}

// TestSystemClock reads the real clocks.
func TestSystemClock(t *testing.T) {
	before := time.Now()
	must.LessEq(t, 0, before.Sub(steady.Now()))
	must.EqOp(t, 0, steady.System().Suspended())
}
