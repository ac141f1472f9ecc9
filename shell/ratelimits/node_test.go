package ratelimits_test

import (
	"expvar"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
)

// TestLimitUpdatesAreDeliveredInOrder has an upstream declare a limit and withdraw it in two responses at nearly the same time, while the callback
// for the first one is slow: the last update delivered must be the current limit.
//
// Effects used to be applied after the lock was released, so that placement could receive the withdrawal before the limit ([false true] instead of
// [true false]). It then avoided the upstream, kept no replicas there and sent it no queries until its next limit.
func TestLimitUpdatesAreDeliveredInOrder(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entered, cleared := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var updates []bool
	n := ratelimits.New("vm-0", "a", noop{}, noop{}, func(_ vaneyoke.UpstreamID, limit vaneyoke.Limit) {
		if limit.Declared {
			close(entered)
			select {
			case <-cleared: // the second update overtook this one
			case <-time.After(50 * time.Millisecond):
			}
		} else {
			close(cleared)
		}
		mu.Lock()
		defer mu.Unlock()
		updates = append(updates, limit.Declared)
	}, ratelimits.NewMetrics(new(expvar.Map).Init()), log)
	defer n.Close()
	upstream := vaneyoke.Upstream{ID: "u1"}
	var responses sync.WaitGroup
	responses.Go(func() { n.RecordLimit(upstream, vaneyoke.Limit{Declared: true, Rate: 2.8}, time.Now()) })
	<-entered
	responses.Go(func() { n.RecordLimit(upstream, vaneyoke.Limit{}, time.Now()) })
	responses.Wait()
	must.False(t, n.Limited("u1"))
	must.Eq(t, []bool{true, false}, updates)
}
