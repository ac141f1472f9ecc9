package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/feed"

	"github.com/vaneyoke/vaneyoke/internal/muteline"
)

// TestSilentConnectionsBetweenNodes makes the existing connections to the common source silent without a reset, while new connections work.
// Each change must still reach all nodes soon, repeatedly.
func TestSilentConnectionsBetweenNodes(t *testing.T) {
	peers := startMeshWith(t, 4, func(c *Config) { c.PeerTimeout = 200 * time.Millisecond })
	reader := highestRanked(peers)
	line, err := muteline.New(reader.self.Address)
	must.NoError(t, err)
	t.Cleanup(line.Close)
	var all []feed.Member
	for _, p := range peers {
		m := p.self
		if p == reader {
			m.Address = line.Address()
		}
		all = append(all, m)
	}
	for _, p := range peers {
		p.SetMembers(all)
	}
	waitUntil(t, allAtVersion(peers, 1))
	for version := range int64(3) {
		line.Mute()
		setVersion(peers, version+2)
		waitUntil(t, allAtVersion(peers, version+2))
	}
}
