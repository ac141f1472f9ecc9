package ratelimit_test

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
)

// stopNode stops a node, which starts again after restartDelay unless it is stopped for good.
func (s *simulation) stopNode(n *node, forGood bool) {
	if !n.up {
		return
	}
	n.up, n.ready, n.generation = false, false, n.generation+1
	s.after(treeDelay, s.rebuildTree)
	if forGood {
		n.goneForGood = true
		return
	}
	s.after(restartDelay, func() {
		s.startNode(n)
		s.after(startupDelay, func() { s.loadTables(n) })
		s.after(treeDelay, s.rebuildTree)
	})
}

// freezeNode suspends a node.
func (s *simulation) freezeNode(n *node, d time.Duration) { n.frozenUntil = s.now.Add(d) }

// partitionNode cuts a node off from all other nodes, but not from the upstreams.
func (s *simulation) partitionNode(n *node, d time.Duration) {
	n.partitioned = true
	s.after(d, func() { n.partitioned = false })
}

// stopStore makes the store unavailable.
func (s *simulation) stopStore(d time.Duration) {
	s.storeDown = true
	s.after(d, func() {
		s.storeDown = false
		if s.membersPending {
			s.membersPending = false
			s.publishMembers()
		}
	})
}

// sampleNodes returns a random share of the nodes, at least one.
func (s *simulation) sampleNodes(share float64) []*node {
	all := slices.Clone(s.nodes)
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:max(int(share*float64(len(all))), 1)]
}

// checkLiveness removes a node from the members if it accepts no connections from n, unless n can't reach other nodes or the store itself.
func (s *simulation) checkLiveness(n *node, vm vaneyoke.VMID) {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.vm == vm })
	other := s.nodes[i]
	if n.partitioned || s.storeDown || (other.up && !other.partitioned) || !other.listed {
		return
	}
	s.removedNodes++
	s.after(storeLatency, func() {
		other.listed = false
		s.publishMembers()
		if other.goneForGood {
			return
		}
		s.register(other)
	})
}

// register registers a removed node again, as soon as it is up and can reach the store.
func (s *simulation) register(n *node) {
	if !n.up || n.partitioned || s.storeDown {
		s.after(500*time.Millisecond, func() { s.register(n) })
		return
	}
	n.listed = true
	s.publishMembers()
}

// writeRow replaces or removes a stored row if its revision matches, and sends the tables to all nodes.
func (s *simulation) writeRow(old, row ratelimit.Row, id vaneyoke.UpstreamID) {
	s.writes++
	s.after(storeLatency, func() {
		if s.storeDown || s.rows[id].Revision != old.Revision {
			return
		}
		s.revision++
		row.Revision = s.revision
		s.rows[id] = row
		if row.Upstream == "" {
			delete(s.rows, id)
		}
		for _, n := range s.nodes {
			s.after(time.Duration(s.rng.Int64N(int64(maxUpdateDelay))), func() { s.loadTables(n) })
		}
	})
}
