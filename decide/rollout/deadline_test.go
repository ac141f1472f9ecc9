package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// TestDeadlineIsCountedFromTheOrder writes the first record of an order late, because the store's clock could not be read at once or no
// node read the store when the order arrived. The deadline was once counted from the first record, written 0.69 s after the order, and a
// rollout of 5 s in tests over the wire completed 5.02 s after its order.
func TestDeadlineIsCountedFromTheOrder(t *testing.T) {
	const within = 5 * time.Second
	for _, delay := range []time.Duration{0, 690 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			now := time.Unix(1000, 0)
			orderedAt := vaneyoke.StoreTime(time.Hour)
			s := rollout.New("vm-0", rollout.Config{Exposure: exposure})
			s.Handle(now, rollout.RecordsUpdated{})
			orders := rollout.OrdersUpdated{Orders: []rollout.Order{{Service: service, Target: "new", Within: within, Revision: 10}}}
			s.Handle(now, orders)
			s.Handle(now.Add(delay/2), orders) // the same list is delivered again with other changes
			s.Handle(now.Add(delay), rollout.Tick{ReadsStore: true})
			for _, effect := range s.Handle(now.Add(delay), rollout.ClockRead{At: orderedAt + vaneyoke.StoreTime(delay)}) {
				if write, ok := effect.(rollout.Write); ok {
					must.EqOp(t, orderedAt+vaneyoke.StoreTime(within), write.Record.Deadline)
					return
				}
			}
			t.Fatal("no record was written")
		})
	}
}
