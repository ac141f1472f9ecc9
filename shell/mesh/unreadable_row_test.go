package mesh

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// Guards against followers that go on with a row whose data cannot be read any more, because it is neither sent nor named as removed.
func TestRowsThatCannotBeReadEndAtFollowers(t *testing.T) {
	unreadable := watch.Row{Data: []byte("\x00{"), Version: 4}
	for name, held := range map[string]heldVersions{"removals are known": {"t": {version: 2}}, "all keys are named": {"t": {version: 1}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, _ := newKeepingHub()
				follower, inUse := newKeepingHub()
				reader.Set(steady.Now(), "t", bothRows, 2, watch.Kept{})
				follower.Set(steady.Now(), "t", bothRows, 2, watch.Kept{})
				reader.Set(steady.Now(), "t", watch.Rows{"a": row("1", 1), "b": unreadable}, 4, watch.Kept{})
				sendFrame(t, reader, follower, held, true)
				must.Eq(t, oneRow, inUse.get())
				reader.Set(steady.Now(), "t", watch.Rows{"a": row("1", 1), "b": row("3", 5)}, 5, watch.Kept{})
				sendFrame(t, reader, follower, held, true)
				must.Eq(t, watch.Rows{"a": row("1", 1), "b": row("3", 5)}, inUse.get())
			})
		})
	}
}
