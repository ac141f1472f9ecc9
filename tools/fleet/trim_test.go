package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

// TestJournalRemovesRetractedTokens guards against a journal that keeps tokens which the node discarded because an engine was lost within a
// character. It then kills the owner and the engine together, so that the answer can be resumed only from the journal.
func TestJournalRemovesRetractedTokens(t *testing.T) {
	for chunks := 4; chunks < 12; chunks++ {
		t.Run(fmt.Sprint("killed after ", chunks), func(t *testing.T) {
			f := start(t, func(c *fleet.Config) {
				c.Nodes, c.Engines, c.Engine.ChunkTokens = 4, 4, 3
				c.AdjustSettings = func(s *settings.Settings) { withoutTimeouts(s); s.Peers.PushPeriod = time.Millisecond }
			})
			c := newCaller(t, f, "trim")
			s, err := c.connect(0)
			must.NoError(t, err)
			must.NoError(t, c.read(s, chunks))
			f.BusyEngine().Kill(nil)
			must.NoError(t, c.read(s, 12))
			_ = s.Close()
			for _, e := range f.Engines {
				killIfRunning(e)
			}
			f.Nodes[0].Kill()
			s, err = c.connect(1)
			must.NoError(t, err)
			c.readAll(s)
		})
	}
}

func killIfRunning(e *standin.Engine) {
	if e.Stats().OpenRuns > 0 {
		e.Kill(nil)
	}
}
