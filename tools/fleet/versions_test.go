package fleet_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// Guards against answers that go on at an engine of another software version, at the same node or at one that took them over.
func TestAnswerGoesOnAtAnotherVersion(t *testing.T) {
	cases := map[string]func(f *fleet.Fleet){
		"engine is killed":            func(f *fleet.Fleet) { f.BusyEngine().Kill(nil) },
		"owner and engine are killed": func(f *fleet.Fleet) { f.BusyEngine().Kill(nil); f.Nodes[0].Kill() },
	}
	for name, fault := range cases {
		for i := range 6 {
			t.Run(fmt.Sprint(name, ", ", i), func(t *testing.T) {
				t.Parallel()
				f := start(t, func(c *fleet.Config) {
					c.Nodes, c.Engines, c.EngineVersions, c.AdjustSettings = 3, 6, []vaneyoke.SoftwareVersion{"v1", "v2"}, withoutTimeouts
				})
				c := newCaller(t, f, "key-1")
				s, err := c.connect(0)
				must.NoError(t, err)
				must.NoError(t, c.read(s, 40))
				_ = s.Close()
				fault(f)
				s, err = c.connect(1)
				must.NoError(t, err)
				must.SliceLen(t, 1, c.readAll(s).Seams)
				must.Len(t, 1, f.VersionsRun())
			})
		}
	}
}
