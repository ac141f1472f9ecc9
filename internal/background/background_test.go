package background_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/background"
)

// TestRunnerBoundsConcurrencyAndDuration makes more calls than may be in flight, each of which waits for its timeout.
func TestRunnerBoundsConcurrencyAndDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := background.New(2, time.Second)
		var made, ended atomic.Int64
		call := func() {
			calls.Go(func(ctx context.Context) error {
				made.Add(1)
				<-ctx.Done()
				return ctx.Err()
			}, func(err error) {
				must.True(t, errors.Is(err, context.DeadlineExceeded))
				ended.Add(1)
			})
			synctest.Wait()
		}
		for range 5 {
			call()
		}
		must.EqOp(t, 2, made.Load())
		time.Sleep(2 * time.Second)
		must.EqOp(t, 2, ended.Load())
		call()
		must.EqOp(t, 3, made.Load())
		time.Sleep(2 * time.Second)
	})
}
