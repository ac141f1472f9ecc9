package mesh

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// hush is a table of a store that is silent up to a time: calls that were made before it never get an answer.
type hush struct {
	until time.Time
	calls int
}

func (h *hush) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	h.calls++
	if time.Now().Before(h.until) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return watch.Rows{}, 1, nil
}

func (h *hush) Changes(ctx context.Context, _ watch.Version, _ time.Duration) ([]watch.Change, watch.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// first remembers when it was told rows first.
type first struct{ at time.Time }

func (f *first) Set(now time.Time, _ watch.Rows, _ watch.Version) { f.at = now }
func (f *first) Confirm(time.Time, watch.Version)                 {}

// TestTablesAreListedSoonAfterASilence has a node start while the store is silent: whatever the table, its rows are there soon after the
// store's return, and it was asked rarely meanwhile.
func TestTablesAreListedSoonAfterASilence(t *testing.T) {
	config := DefaultConfig()
	for name, times := range map[string]watch.Config{"reader": config.Reader, "alone": config.Small, "members": config.Slow} {
		for silent := 100 * time.Millisecond; silent < 15*time.Second; silent += 700 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				back := time.Now().Add(silent)
				source, sink := &hush{until: back}, &first{}
				log := logrus.New()
				log.SetOutput(io.Discard)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					watch.New(name, source, func() watch.Config { return times }, watch.NewRetryGate(), sink, log).Run(ctx)
					close(done)
				}()
				time.Sleep(silent + 20*time.Second)
				stop()
				<-done
				must.False(t, sink.at.IsZero(), must.Sprint(name, silent))
				must.LessEq(t, 3*time.Second, sink.at.Sub(back), must.Sprint(fmt.Sprint(name, " after ", silent)))
			})
		}
	}
}
