package admission

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// overShare is the part of its share from which on a workspace counts as over it; the demand of short times varies by less.
const overShare = 1.5

func (e *entry) isOverShare() bool { return e.charge > overShare }

// fairQueue is the self-clocked fair queue of a service: a request's virtual finish time is that of the one before it of its workspace and
// urgency, or the virtual time if that is later, plus its prompt tokens times its charge.
type fairQueue struct {
	flows map[flowKey]*flow
	now   map[share.Urgency]float64 // virtual time: the finish time of the last request that was admitted
}

type flowKey struct {
	urgency   share.Urgency
	workspace vaneyoke.WorkspaceID
}

// flow holds the virtual finish times of a workspace's requests of one urgency.
type flow struct {
	admitted float64 // of the last one that was admitted
	queued   float64 // of the last one that waits
}

func keyOf(e *entry) flowKey { return flowKey{urgency: e.Urgency, workspace: e.Workspace} }

func (f *fairQueue) flow(key flowKey) *flow {
	if f.flows == nil {
		f.flows = map[flowKey]*flow{}
	}
	if f.now == nil {
		f.now = map[share.Urgency]float64{}
	}
	if f.flows[key] == nil {
		f.flows[key] = &flow{}
	}
	return f.flows[key]
}

// add sets the charge and the virtual finish time of a request that arrives.
func (f *fairQueue) add(e *entry, charge float64) {
	f.flow(keyOf(e))
	e.charge, e.virtualArrival = charge, f.now[e.Urgency]
	f.tag(e)
}

func (f *fairQueue) tag(e *entry) {
	flow := f.flow(keyOf(e))
	flow.queued = max(flow.queued, e.virtualArrival) + float64(max(e.Prompt, 1))*e.charge
	e.finish = flow.queued
}

// admitted advances the virtual time to the finish time of a request.
func (f *fairQueue) admitted(e *entry) {
	flow := f.flow(keyOf(e))
	flow.admitted = max(flow.admitted, e.finish)
	f.now[e.Urgency] = max(f.now[e.Urgency], e.finish)
}

// retag recomputes the finish times of a workspace's requests of one urgency, of which some have left.
func (f *fairQueue) retag(entries []*entry, urgency share.Urgency, workspace vaneyoke.WorkspaceID) {
	key := flowKey{urgency: urgency, workspace: workspace}
	flow := f.flows[key]
	if flow == nil {
		return
	}
	flow.queued = flow.admitted
	for _, e := range entries {
		if keyOf(e) == key {
			f.tag(e)
		}
	}
}

// retagAll recomputes all finish times, and forgets workspaces without requests.
func (f *fairQueue) retagAll(entries []*entry) {
	before := f.flows
	f.flows = make(map[flowKey]*flow, len(before))
	for _, e := range entries {
		if key := keyOf(e); f.flows[key] == nil {
			f.flows[key] = &flow{admitted: before[key].admitted, queued: before[key].admitted}
		}
		f.tag(e)
	}
}

// chargeOf returns the factor by which the tokens of a request count against its workspace: above 1 if the workspace gets more than its share of
// the whole fleet.
func (s *State) chargeOf(now time.Time, e *entry) float64 {
	if !s.hasFreshTotals(now) {
		return 1
	}
	return s.totals.Overuse(e.Service, e.Workspace)
}

// yields reports whether a request of a workspace that is over its share leaves the room to others, while requests at least as urgent wait at any
// node. A node that has only its requests would take all that others' nodes wait for.
func (s *State) yields(now time.Time, e *entry) bool {
	return e.isOverShare() && s.hasFreshTotals(now) && s.totals.MoreUrgentWaits(e.Service, e.Urgency+1)
}
