package mesh_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

// TestFirstStartLeavesTimeForTheFirstLook holds that a store which takes as long as it may at any other start does not have all nodes read all tables at the first one.
func TestFirstStartLeavesTimeForTheFirstLook(t *testing.T) {
	usual := mesh.DefaultConfig()
	first := usual.AtFirstStart()
	must.True(t, first.FirstStart)
	must.EqOp(t, usual.Feed.MemberWait, first.Feed.MemberWait-first.FirstLook)
}
