package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// TestAtMostOnceCallsMakeNoBreakerTrials has an open circuit breaker allow a trial: calls that may be sent only once do not make it, unless no other
// request has made it for a while.
func TestAtMostOnceCallsMakeNoBreakerTrials(t *testing.T) {
	now := time.Unix(1000, 0)
	s := threeDataCentres()
	for range 3 {
		s.RecordGossip(now, "a0", gossip.KindLost)
	}
	now = now.Add(time.Second)
	atMostOnce, retriable := need, need
	atMostOnce.AtMostOnce = true
	tried := false
	for range 200 {
		u, _, ok := s.Pick(now, rng(), atMostOnce)
		must.True(t, ok)
		must.NotEqOp(t, "a0", u.ID)
		u, _, _ = s.Pick(now, rand.New(rand.NewPCG(uint64(now.Nanosecond()), 1)), retriable)
		tried = tried || u.ID == "a0"
		now = now.Add(time.Millisecond)
	}
	must.True(t, tried)
	now = now.Add(3 * time.Second)
	tried = false
	for range 200 {
		u, _, _ := s.Pick(now, rand.New(rand.NewPCG(uint64(now.Nanosecond()), 1)), atMostOnce)
		tried = tried || u.ID == "a0"
		now = now.Add(time.Millisecond)
	}
	must.True(t, tried, must.Sprint("no other request has made the trial"))
}
