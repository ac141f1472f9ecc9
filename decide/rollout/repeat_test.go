package rollout_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// TestRepeatedOrderDoesNotStartAnew repeats an order while its rollout is in progress: no stage follows the final one, even long after the
// deadline. Another repeat after that starts a new rollout.
func TestRepeatedOrderDoesNotStartAnew(t *testing.T) {
	sim := newSimulation(3, 6, func(*simulation) {})
	order := func(revision vaneyoke.Revision) {
		for i := range sim.nodes {
			sim.handle(i, rollout.OrdersUpdated{Orders: []rollout.Order{{Service: service, Target: "new", Within: sim.within, Revision: revision}}})
		}
	}
	sim.run(sim.within+10*time.Second, func() {
		if sim.elapsed() == 2*time.Second {
			order(1000)
		}
	})
	final := 0
	for _, stage := range sim.written {
		if stage.Final() {
			final++
		}
	}
	must.EqOp(t, rollout.StageCompleted, sim.written[len(sim.written)-1])
	must.EqOp(t, 1, final, must.Sprint(sim.written))
	order(2000)
	sim.run(sim.elapsed()+3*time.Second, nil)
	must.EqOp(t, rollout.StageCanary, sim.written[len(sim.written)-1])
}
