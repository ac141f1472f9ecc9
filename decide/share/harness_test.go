package share_test

import (
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

const (
	interval = 500 * time.Millisecond
	expiry   = 3*interval + interval/2
)

// harness drives one node, "self", whose parent is "parent" and whose children are "a" and "b".
type harness struct {
	t      *testing.T
	now    time.Time
	state  *share.State
	counts bool
	up     *share.Summary  // the last summary to the parent
	down   []share.Summary // the last one to each child
	upAt   time.Time
	totals *share.Totals
	drops  []share.DropReason
	sent   int
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, now: time.Unix(1000, 0), state: share.New("self", 100, rand.New(rand.NewPCG(1, 2))), counts: true}
	b.tree("parent", "a", "b")
	return b
}

func (b *harness) tree(parent vaneyoke.VMID, children ...vaneyoke.VMID) {
	b.handle(share.TreeUpdated{Parent: parent, Children: children})
}

func (b *harness) handle(ev share.Event) {
	var down []share.Summary
	for _, effect := range b.state.Handle(b.now, ev) {
		switch e := effect.(type) {
		case share.SendSummary:
			b.sent++
			if e.Summary.Down {
				down = append(down, e.Summary)
			} else {
				b.up, b.upAt = &e.Summary, b.now
			}
		case share.UpdateTotals:
			b.totals = &e.Totals
		case share.SummaryDropped:
			b.drops = append(b.drops, e.Reason)
		}
	}
	if down != nil {
		b.down = down
	}
}

// advance lets time pass, with a demand of 1 token of this node at each tick.
func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); ; {
		at := b.state.NextTick()
		if at.After(end) {
			b.now = end
			return
		}
		if at.After(b.now) {
			b.now = at
		}
		b.tick()
	}
}

func (b *harness) tick() {
	if b.counts && b.state.CountDue(b.now) {
		b.handle(share.Counted{Demands: []share.Demand{{Service: "chat", Workspace: "own", Flow: share.Flow{Offered: 1}}}})
	}
	b.handle(share.Tick{})
}

func up(from vaneyoke.VMID, sequence uint64, offered vaneyoke.Tokens) share.SummaryReceived {
	return share.SummaryReceived{Summary: summary(from, sequence, offered)}
}

func summary(from vaneyoke.VMID, sequence uint64, offered vaneyoke.Tokens) share.Summary {
	return share.Summary{From: from, Sequence: sequence, Nodes: 1, Services: []share.ServiceShare{{
		Service: "chat", Urgencies: []share.UrgencyFlow{{Flow: share.Flow{Offered: offered}}},
		Workspaces: []share.WorkspaceFlow{{Workspace: "w", Flow: share.Flow{Offered: offered}}},
	}}}
}

// hashOf returns the hash by which summaries name the node that added up the totals.
func hashOf(vm vaneyoke.VMID) share.Hash {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	return share.Hash(hash.Sum32())
}

func down(from vaneyoke.VMID, sequence uint64, root vaneyoke.VMID, nodes int, age time.Duration) share.SummaryReceived {
	s := summary(from, sequence, 1000)
	s.Down, s.Root, s.Nodes, s.Age = true, hashOf(root), nodes, age
	return share.SummaryReceived{Summary: s}
}

// offered returns the tokens in a summary.
func offered(s *share.Summary) (sum vaneyoke.Tokens) {
	for _, service := range s.Services {
		for _, u := range service.Urgencies {
			sum += u.Offered
		}
	}
	return sum
}
