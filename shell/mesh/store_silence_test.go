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

// silentStore is a table of a store that is silent until some time: calls made before then never get a response.
type silentStore struct {
	silentUntil time.Time
	calls       int
}

func (h *silentStore) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	h.calls++
	if time.Now().Before(h.silentUntil) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return watch.Rows{}, 1, nil
}

func (h *silentStore) Changes(ctx context.Context, _ watch.Version, _ time.Duration) ([]watch.Change, watch.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// firstSet records the time of the call of Set.
type firstSet struct{ at time.Time }

func (f *firstSet) Set(now time.Time, _ watch.Rows, _ watch.Version, _ watch.Kept) { f.at = now }
func (f *firstSet) Confirm(time.Time, watch.Version)                               {}

// TestTablesAreListedSoonAfterStoreSilence starts a node while the store does not respond: the rows of each kind of table must be listed soon
// after the store responds again.
func TestTablesAreListedSoonAfterStoreSilence(t *testing.T) {
	config := DefaultConfig()
	for name, times := range map[string]watch.Config{"reader": config.Reader, "alone": config.SingleNode, "members": config.Lagging} {
		for silent := 100 * time.Millisecond; silent < 15*time.Second; silent += 700 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				back := time.Now().Add(silent)
				source, sink := &silentStore{silentUntil: back}, &firstSet{}
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
