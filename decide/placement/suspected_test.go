package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// Guards against an upstream that is silent in all its runs and gets further ones, since none of them has ended.
func TestSilentUpstreamGetsWorkUntilItsRunsEnd(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	call := placement.Need{Kind: vaneyoke.KindService, Service: "shop"}
	s := limitedState("u0", "u1")
	for range 3 {
		s.Sent(now, "u0")
		s.Suspected(now, "u0", placement.OutcomeLost)
	}
	must.False(t, s.AcceptsWork(now, "u0"))
	for range 20 {
		u, _, ok := s.Pick(now, rng, call)
		must.True(t, ok)
		must.EqOp(t, "u1", u.ID)
	}
	s.Ended(now, "u0", placement.OutcomeDone, true) // one of them went on
	must.True(t, s.AcceptsWork(now, "u0"))
}
