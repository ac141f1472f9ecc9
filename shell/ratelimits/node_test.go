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

// TestBeliefsComeInTheirOrder has an upstream name a limit and none any more in two answers at nearly the same moment, while whoever is told
// the first one takes a while: what is told last must be what stands.
//
// What follows from an event was carried out after the lock was given back, so that placement could hear of the end before it heard of the limit
// ([false true] in place of [true false]). It then left an upstream aside, kept no replicas there and asked it nothing, until its next limit.
func TestBeliefsComeInTheirOrder(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entered, over := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var told []bool
	n := ratelimits.New("vm-0", "a", deaf{}, deaf{}, func(_ vaneyoke.UpstreamID, limit vaneyoke.Limit) {
		if limit.Declared {
			close(entered)
			select {
			case <-over: // the other one went past this one
			case <-time.After(50 * time.Millisecond):
			}
		} else {
			close(over)
		}
		mu.Lock()
		defer mu.Unlock()
		told = append(told, limit.Declared)
	}, ratelimits.NewMetrics(new(expvar.Map).Init()), log)
	defer n.Close()
	upstream := vaneyoke.Upstream{ID: "u1"}
	var answers sync.WaitGroup
	answers.Go(func() { n.RecordLimit(upstream, vaneyoke.Limit{Declared: true, Rate: 2.8}, time.Now()) })
	<-entered
	answers.Go(func() { n.RecordLimit(upstream, vaneyoke.Limit{}, time.Now()) })
	answers.Wait()
	must.False(t, n.Limited("u1"))
	must.Eq(t, []bool{true, false}, told)
}
