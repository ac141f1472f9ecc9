package feed

import (
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
)

// fanOut is how many nodes of a data centre follow the same node when all nodes are up.
const fanOut = 4

// Tree defines which members of a fleet follow which: it is a tree over the ranked members of each data centre, whose root
// follows the roots of other data centres.
type Tree struct {
	dataCentres map[vaneyoke.DataCentreID]dataCentre
	roots       []Member // of the data centres, by rank
	count       int
}

// dataCentre holds the members of a data centre by rank.
type dataCentre struct {
	members []Member
	ranks   []rank
}

// NewTree builds the tree of the members.
func NewTree(members []Member) *Tree {
	t := &Tree{dataCentres: map[vaneyoke.DataCentreID]dataCentre{}, count: len(members)}
	for name, members := range lo.GroupBy(members, func(m Member) vaneyoke.DataCentreID { return m.DataCentre }) {
		c := newDataCentre(members)
		t.dataCentres[name] = c
		t.roots = append(t.roots, c.members[0])
	}
	slices.SortFunc(t.roots, ByRank)
	return t
}

func newDataCentre(members []Member) dataCentre {
	type ranked struct {
		member Member
		rank   rank
	}
	all := lo.Map(members, func(m Member, _ int) ranked { return ranked{m, rankOf(m)} })
	slices.SortFunc(all, func(a, b ranked) int { return compareRanks(a.rank, b.rank) })
	return dataCentre{
		members: lo.Map(all, func(r ranked, _ int) Member { return r.member }),
		ranks:   lo.Map(all, func(r ranked, _ int) rank { return r.rank }),
	}
}

// position returns how many members of a data centre rank before a node, which need not be a member.
func (t *Tree) position(m Member) int {
	at, _ := slices.BinarySearchFunc(t.dataCentres[m.DataCentre].ranks, rankOf(m), compareRanks)
	return at
}

// size returns how many members a data centre has.
func (t *Tree) size(name vaneyoke.DataCentreID) int { return len(t.dataCentres[name].members) }

// Candidates returns the members that a node tries as its source, the preferred one first: at most limit members that rank
// before it. They are of its own data centre if any member there ranks before it, and roots of other data centres otherwise.
// The one node without candidates reads the store itself.
//
// The preferred sources form a tree over the ranks, in which no node has more than fanOut followers of its data centre. After
// the preferred source come the nodes that it follows itself, up to the root, and then the other members by rank.
func (t *Tree) Candidates(self Member, limit int) []Member {
	position := t.position(self)
	if position == 0 {
		roots := lo.Filter(t.roots, func(m Member, _ int) bool { return m.DataCentre != self.DataCentre && m.Outranks(self) })
		return roots[:min(len(roots), limit)]
	}
	higherRanked := t.dataCentres[self.DataCentre].members[:position]
	chosen := make([]Member, 0, limit)
	for i := position; i > 0 && len(chosen) < limit; {
		i = (i - 1) / fanOut
		chosen = append(chosen, higherRanked[i])
	}
	for _, m := range higherRanked {
		if len(chosen) >= limit {
			break
		}
		if !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// Children returns the members of m's data centre whose preferred source is m.
func (t *Tree) Children(m Member) []Member {
	members := t.dataCentres[m.DataCentre].members
	first := t.position(m)*fanOut + 1
	if first >= len(members) {
		return nil
	}
	return members[first:min(first+fanOut, len(members))]
}

// Roots returns the highest-ranked member of each data centre, by rank.
func (t *Tree) Roots() []Member { return t.roots }

// Contains reports whether the tree holds the member with the same field values.
func (t *Tree) Contains(m Member) bool {
	members, at := t.dataCentres[m.DataCentre].members, t.position(m)
	return at < len(members) && members[at] == m
}

// memberAt returns the member at an index over all data centres, in an order that all nodes share.
func (t *Tree) memberAt(at int) Member {
	for _, root := range t.roots {
		members := t.dataCentres[root.DataCentre].members
		if at < len(members) {
			return members[at]
		}
		at -= len(members)
	}
	return Member{}
}

// Count returns how many members there are.
func (t *Tree) Count() int { return t.count }
