package feed

import (
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
)

// fanOut is how many nodes of a data centre follow one, where all of them are there.
const fanOut = 4

// Tree is the order in which the members of a fleet follow one another: a tree over the ranks of each data centre, whose
// highest follows those of other data centres.
type Tree struct {
	centres map[vaneyoke.DataCentreID]centre
	heads   []Member // of the data centres, by rank
	count   int
}

// centre is the members of a data centre by rank.
type centre struct {
	members []Member
	ranks   []rank
}

// NewTree returns the tree of the members.
func NewTree(members []Member) *Tree {
	t := &Tree{centres: map[vaneyoke.DataCentreID]centre{}, count: len(members)}
	for name, members := range lo.GroupBy(members, func(m Member) vaneyoke.DataCentreID { return m.DataCentre }) {
		c := newCentre(members)
		t.centres[name] = c
		t.heads = append(t.heads, c.members[0])
	}
	slices.SortFunc(t.heads, ByRank)
	return t
}

func newCentre(members []Member) centre {
	type ranked struct {
		member Member
		rank   rank
	}
	all := lo.Map(members, func(m Member, _ int) ranked { return ranked{m, rankOf(m)} })
	slices.SortFunc(all, func(a, b ranked) int { return compareRanks(a.rank, b.rank) })
	return centre{
		members: lo.Map(all, func(r ranked, _ int) Member { return r.member }),
		ranks:   lo.Map(all, func(r ranked, _ int) rank { return r.rank }),
	}
}

// place returns how many members of a data centre come before a node, which need not be a member.
func (t *Tree) place(m Member) int {
	at, _ := slices.BinarySearchFunc(t.centres[m.DataCentre].ranks, rankOf(m), compareRanks)
	return at
}

// size returns how many members a data centre has.
func (t *Tree) size(name vaneyoke.DataCentreID) int { return len(t.centres[name].members) }

// Above returns the members that a node asks for the tables, the first choice first: at most most members whose rank is
// higher than its own, of its own data centre where there are any, and else the highest of other data centres. The one
// node without any reads the store itself.
//
// The first of each makes a tree over the ranks, in which no node has more than fanOut followers of its data centre; after it come the nodes
// that the first one follows itself, up to the highest, and then the highest others.
func (t *Tree) Candidates(self Member, most int) []Member {
	place := t.place(self)
	if place == 0 {
		heads := lo.Filter(t.heads, func(m Member, _ int) bool { return m.DataCentre != self.DataCentre && m.Outranks(self) })
		return heads[:min(len(heads), most)]
	}
	above := t.centres[self.DataCentre].members[:place]
	chosen := make([]Member, 0, most)
	for i := place; i > 0 && len(chosen) < most; {
		i = (i - 1) / fanOut
		chosen = append(chosen, above[i])
	}
	for _, m := range above {
		if len(chosen) >= most {
			break
		}
		if !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// Below returns the members of a member's data centre that follow it first.
func (t *Tree) Children(m Member) []Member {
	members := t.centres[m.DataCentre].members
	first := t.place(m)*fanOut + 1
	if first >= len(members) {
		return nil
	}
	return members[first:min(first+fanOut, len(members))]
}

// Heads returns the highest member of each data centre, by rank.
func (t *Tree) Roots() []Member { return t.heads }

// Holds reports whether a member stands in the tree as it is.
func (t *Tree) Contains(m Member) bool {
	members, at := t.centres[m.DataCentre].members, t.place(m)
	return at < len(members) && members[at] == m
}

// any returns the member at a place among all, in an order that all nodes share.
func (t *Tree) any(at int) Member {
	for _, head := range t.heads {
		members := t.centres[head.DataCentre].members
		if at < len(members) {
			return members[at]
		}
		at -= len(members)
	}
	return Member{}
}

// Count returns how many members there are.
func (t *Tree) Count() int { return t.count }
