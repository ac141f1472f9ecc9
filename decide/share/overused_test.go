package share_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestFarthestOverFairShareIsTold has eight workspaces of one service be a little over their fair share, and one of another service far over it:
// the children must be told of that one. The services took their places by name.
func TestFarthestOverFairShareIsTold(t *testing.T) {
	demand := func(service vaneyoke.ServiceID, workspace string, offered, admitted vaneyoke.Tokens) share.Demand {
		return share.Demand{
			Service: service, Workspace: vaneyoke.WorkspaceID(workspace), Flow: share.Flow{Offered: offered, Admitted: admitted, Rejected: 1},
		}
	}
	var demands []share.Demand
	for i := range 8 {
		demands = append(demands, demand("chat", fmt.Sprint("a little over ", i), 200, 110))
	}
	demands = append(demands, demand("chat", "under", 200, 50), demand("summary", "far over", 2000, 1000))
	for i := range 3 {
		demands = append(demands, demand("summary", fmt.Sprint("under ", i), 500, 10))
	}
	b := newHarness(t)
	b.counts = false
	b.tree("", "a")
	b.handle(share.Counted{Demands: demands})
	b.advance(2 * interval)
	must.SliceNotEmpty(t, b.down)
	told := 0
	for _, s := range b.down[0].Services {
		told += len(s.Overused)
	}
	must.EqOp(t, 8, told)
	must.SliceContainsFunc(t, b.down[0].Services, "far over", func(s share.ServiceShare, workspace string) bool {
		return s.Service == "summary" && len(s.Overused) == 1 && s.Overused[0].Workspace == hashOf(vaneyoke.VMID(workspace))
	})
}
