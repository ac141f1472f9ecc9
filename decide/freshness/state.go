package freshness

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// State tracks how recently one node's configuration was confirmed.
type State struct {
	self             vaneyoke.VMID
	validity         time.Duration
	revision         vaneyoke.Revision
	members          map[vaneyoke.VMID]bool
	storeConfirmedAt time.Time                   // start of the last successful read of the store
	peerConfirmedAt  map[vaneyoke.VMID]time.Time // start of the last call that each member answered
	confirmed        bool                        // whether the store or a majority of the others has confirmed the node since it started
}

// New returns a state that is not fresh; validity is how long a confirmation counts.
func New(self vaneyoke.VMID, validity time.Duration) *State {
	return &State{self: self, validity: validity, members: map[vaneyoke.VMID]bool{}, peerConfirmedAt: map[vaneyoke.VMID]time.Time{}}
}

// Revision returns the active revision of the node.
func (s *State) Revision() vaneyoke.Revision { return s.revision }

// Apply records the configuration that the node has activated, and its members; an older one changes nothing.
func (s *State) Apply(revision vaneyoke.Revision, members []vaneyoke.VMID) {
	if revision <= s.revision {
		return
	}
	s.revision = revision
	s.members = make(map[vaneyoke.VMID]bool, len(members))
	for _, vm := range members {
		s.members[vm] = true
	}
}

// RecordStoreRead records a read of the store's revision that began at the given time; it confirms the node only if the node
// has that revision.
func (s *State) RecordStoreRead(began time.Time, revision vaneyoke.Revision) {
	if revision <= s.revision && began.After(s.storeConfirmedAt) {
		s.storeConfirmedAt, s.confirmed = began, true
	}
}

// ConfirmableRevision returns the revision that the node may confirm to others: 0 before it was confirmed itself, because a
// restarted node has lost the changes that it helped to accept.
func (s *State) ConfirmableRevision() vaneyoke.Revision {
	if !s.confirmed {
		return 0
	}
	return s.revision
}

// RecordPeerAnswer records the revision that a node confirmed in answer to a call that began at the given time; it counts only
// if that node confirmed a revision, and none newer than this node's own.
func (s *State) RecordPeerAnswer(began time.Time, vm vaneyoke.VMID, revision vaneyoke.Revision) {
	if revision == 0 || revision > s.revision || !began.After(s.peerConfirmedAt[vm]) {
		return
	}
	s.peerConfirmedAt[vm] = began
	if !s.confirmed && !s.majoritySince().IsZero() {
		s.confirmed = true
	}
}

// Fresh reports whether the node may take new work at now.
func (s *State) Fresh(now time.Time) bool {
	return s.FreshUntil().After(now)
}

// FreshUntil returns when the node stops being fresh; the zero time if it never was.
func (s *State) FreshUntil() time.Time {
	if s.revision == 0 {
		return time.Time{}
	}
	began := s.storeConfirmedAt
	if majority := s.majoritySince(); majority.After(began) {
		began = majority
	}
	if began.IsZero() {
		return time.Time{}
	}
	return began.Add(s.validity)
}

// majoritySince returns the latest time since which a majority of the members has answered.
func (s *State) majoritySince() time.Time {
	need := Majority(len(s.members))
	if s.members[s.self] && s.confirmed {
		need--
	}
	if need <= 0 {
		return time.Time{} // a single node cannot tell whether it is cut off
	}
	var latest []time.Time
	for vm := range s.members {
		if at := s.peerConfirmedAt[vm]; vm != s.self && !at.IsZero() {
			latest = insertDescending(latest, at)
		}
	}
	if len(latest) < need {
		return time.Time{}
	}
	return latest[need-1]
}

// insertDescending inserts a time into a list that is sorted from the latest to the earliest.
func insertDescending(list []time.Time, at time.Time) []time.Time {
	list = append(list, at)
	for i := len(list) - 1; i > 0 && list[i].After(list[i-1]); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

// Majority returns the smallest number of nodes that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// Accepted reports whether a change may be reported as accepted: a majority of its members has applied it, or it has no
// members.
func Accepted(members []vaneyoke.VMID, applied map[vaneyoke.VMID]vaneyoke.Revision, revision vaneyoke.Revision) bool {
	if len(members) == 0 {
		return true
	}
	count := 0
	for _, vm := range members {
		if applied[vm] >= revision {
			count++
		}
	}
	return count >= Majority(len(members))
}
