package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// node plays events against a state and records its decisions.
type node struct {
	*admission.State
	now       time.Time
	assess    []vaneyoke.RequestID // under way
	decisions []string
	rejects   map[vaneyoke.RequestID]admission.Reject
}

func newNode(mode admission.Mode) *node {
	n := &node{
		State: admission.New(admission.Config{MaxQueued: 100, MaxBytes: 1 << 20}, pacing.New(), rand.New(rand.NewPCG(1, 2))),
		now:   worldStart, rejects: map[vaneyoke.RequestID]admission.Reject{},
	}
	n.do(admission.ModeSet{Service: "lm", Mode: mode})
	return n
}

func (n *node) do(ev admission.Event) {
	for _, effect := range n.Handle(n.now, ev) {
		switch e := effect.(type) {
		case admission.Assess:
			n.assess = append(n.assess, e.ID)
		case admission.Admit:
			text := string(e.ID)
			if e.Forced {
				text += " forced"
			}
			n.decisions = append(n.decisions, text)
		case admission.Reject:
			n.rejects[e.ID] = e
			n.decisions = append(n.decisions, fmt.Sprintf("%s %s", e.ID, e.Reason))
		}
	}
}

// request returns a request of workspace "a" with 1,000 tokens, changed by the given functions.
func (n *node) request(id vaneyoke.RequestID, change ...func(*admission.Request)) admission.Request {
	r := admission.Request{
		ID: id, Service: "lm", Route: "chat", Workspace: "a", Prompt: 1000, Goal: n.now.Add(4 * time.Second), Deadline: n.now.Add(20 * time.Second), Bytes: 1000,
	}
	for _, c := range change {
		c(&r)
	}
	return r
}

func (n *node) arrive(id vaneyoke.RequestID, change ...func(*admission.Request)) {
	n.do(admission.Arrived{Request: n.request(id, change...)})
}

// answer gives a result to every assessment under way.
func (n *node) answer(room admission.Room) {
	for _, id := range n.takeAssess() {
		n.do(admission.Assessed{ID: id, Room: room})
	}
}

func (n *node) takeAssess() []vaneyoke.RequestID {
	ids := n.assess
	n.assess = nil
	return ids
}

// pass lets time pass and ticks where they are due; no assessment finds room.
func (n *node) pass(d time.Duration) {
	until := n.now.Add(d)
	for at := n.NextTick(); !at.IsZero() && !at.After(until); at = n.NextTick() {
		n.now = at
		n.do(admission.Tick{})
		n.answer(admission.Room{})
	}
	n.now = until
}

// drain reports a free upstream until nothing waits.
func (n *node) drain() {
	n.do(admission.RunEnded{Service: "lm"})
	for at := n.NextTick(); !at.IsZero(); at = n.NextTick() {
		if len(n.assess) == 0 {
			n.now = at
			n.do(admission.Tick{})
		}
		n.answer(admission.Room{Free: true, Idle: true})
	}
}

func urgency(u share.Urgency) func(*admission.Request) {
	return func(r *admission.Request) { r.Urgency = u }
}
func workspace(w vaneyoke.WorkspaceID) func(*admission.Request) {
	return func(r *admission.Request) { r.Workspace = w }
}
func returned(ret pacing.Return) func(*admission.Request) {
	return func(r *admission.Request) { r.Return = ret }
}
func goal(d time.Duration) func(*admission.Request) {
	return func(r *admission.Request) { r.Goal = worldStart.Add(d) }
}

// demand returns the demand of the fleet for the service.
func demand(at time.Time, totals share.ServiceTotals) admission.SharesUpdated {
	return admission.SharesUpdated{Totals: share.Totals{
		MeasuredAt: at, Nodes: 3, Services: map[vaneyoke.ServiceID]share.ServiceTotals{"lm": totals},
	}}
}
func prompt(tokens vaneyoke.Tokens) func(*admission.Request) {
	return func(r *admission.Request) { r.Prompt = tokens }
}
