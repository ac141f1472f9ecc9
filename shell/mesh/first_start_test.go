package mesh_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

// TestFirstStartWaitIncludesMembersReadDelay checks that a node waits longer before it reads all tables at the first start of the system, by the
// delay of its first read of the members. Otherwise a store that is slow, but fast enough for any other start, would make all nodes read
// all tables.
func TestFirstStartWaitIncludesMembersReadDelay(t *testing.T) {
	usual := mesh.DefaultConfig()
	first := usual.AtFirstStart()
	must.True(t, first.FirstStart)
	must.EqOp(t, usual.Feed.MemberWait, first.Feed.MemberWait-first.MembersReadDelay)
}
