package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// TestChainForwardsPackets adds, changes and removes rows while nodes follow one another in a chain, each receiving updates at its own times.
// After each update a node must hold the same rows as its source, and a node that receives each change must forward the packets of the
// reader instead of encoding its own.
func TestChainForwardsPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		chain := make([]*Hub, 4)
		applied := make([]*watch.Rows, len(chain))
		held := make([]heldVersions, len(chain))
		for i := range chain {
			chain[i], applied[i] = newRecordingHub()
			held[i] = heldVersions{}
		}
		rows := watch.Rows{}
		version := watch.Version(0)
		forwarded := 0
		send := func(i int) {
			f, p := nextPacket(t, chain[i-1], now, held[i])
			chain[i].applyFrame(now, f, p, true)
			if p == nil {
				return
			}
			if i+1 < len(chain) {
				for _, next := range chain[i].packets {
					if &next[0] == &p[0] {
						forwarded++
					}
				}
			}
			must.Eq(t, *applied[i-1], *applied[i])
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch at := rapid.IntRange(0, len(chain)).Draw(t, "at"); at {
			case 0:
				version++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				next := watch.Rows{}
				for k, r := range rows {
					next[k] = r
				}
				if rapid.Bool().Draw(t, "gone") {
					delete(next, key)
				} else {
					next[key] = row(fmt.Sprint(version), version)
				}
				rows = next
				setConfirmed(chain[0], now, "t", rows, version, now)
			case len(chain):
				for i := 1; i < len(chain); i++ {
					send(i)
				}
			default:
				send(at)
			}
		}
		for i := 1; i < len(chain); i++ {
			send(i)
		}
		if version > 0 {
			must.Eq(t, rows, *applied[len(chain)-1])
			must.Positive(t, forwarded)
		}
	})
}
