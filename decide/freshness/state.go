package freshness

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// State is what one node knows of the configuration's age.
type State struct {
	self     vaneyoke.VMID
	lasts    time.Duration
	revision vaneyoke.Revision
	members  map[vaneyoke.VMID]bool
	store    time.Time                   // when the last successful read of the store began
	peers    map[vaneyoke.VMID]time.Time // when the last call that each member answered began
	sure     bool                        // whether the store or a majority of the others has confirmed the node since it started
}

// New returns a state that is not fresh; lasts is how long a confirmation counts.
func New(self vaneyoke.VMID, lasts time.Duration) *State {
	return &State{self: self, lasts: lasts, members: map[vaneyoke.VMID]bool{}, peers: map[vaneyoke.VMID]time.Time{}}
}

// Revision returns the revision in force at the node.
func (s *State) Revision() vaneyoke.Revision { return s.revision }

// Apply notes that the node has put a configuration in force, and the nodes that it names; an older one changes nothing.
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

// ReadStore notes a read of the store's revision that began at the given time; it confirms the node only where the node has that revision.
func (s *State) RecordStoreRead(began time.Time, revision vaneyoke.Revision) {
	if revision <= s.revision && began.After(s.store) {
		s.store, s.sure = began, true
	}
}

// Confirms returns the revision that the node may confirm to others: none before it was confirmed itself, because a node
// that starts again has forgotten what it helped to accept.
func (s *State) ConfirmableRevision() vaneyoke.Revision {
	if !s.sure {
		return 0
	}
	return s.revision
}

// HeardPeer notes what a node confirms in answer to a call that began at the given time; it counts only where that node confirms anything, and
// nothing newer.
func (s *State) RecordPeerAnswer(began time.Time, vm vaneyoke.VMID, revision vaneyoke.Revision) {
	if revision == 0 || revision > s.revision || !began.After(s.peers[vm]) {
		return
	}
	s.peers[vm] = began
	if !s.sure && !s.majoritySince().IsZero() {
		s.sure = true
	}
}

// Fresh reports whether the node may take new work at now.
func (s *State) Fresh(now time.Time) bool {
	return s.FreshUntil().After(now)
}

// FreshUntil returns when the node's knowledge lapses, the zero time where it never had any.
func (s *State) FreshUntil() time.Time {
	if s.revision == 0 {
		return time.Time{}
	}
	began := s.store
	if by := s.majoritySince(); by.After(began) {
		began = by
	}
	if began.IsZero() {
		return time.Time{}
	}
	return began.Add(s.lasts)
}

// majoritySince returns the latest time since which a majority of the members has answered.
func (s *State) majoritySince() time.Time {
	need := Majority(len(s.members))
	if s.members[s.self] && s.sure {
		need--
	}
	if need <= 0 {
		return time.Time{} // a node alone cannot tell whether it was cut off
	}
	var latest []time.Time
	for vm := range s.members {
		if at := s.peers[vm]; vm != s.self && !at.IsZero() {
			latest = insert(latest, at)
		}
	}
	if len(latest) < need {
		return time.Time{}
	}
	return latest[need-1]
}

// insert adds a time to a list that is sorted from the latest to the earliest.
func insert(list []time.Time, at time.Time) []time.Time {
	list = append(list, at)
	for i := len(list) - 1; i > 0 && list[i].After(list[i-1]); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

// Majority returns how many of n nodes are more than half.
func Majority(n int) int { return n/2 + 1 }

// Accepted reports whether a change may be told as accepted: a majority of its members has it, or it names none.
func Accepted(members []vaneyoke.VMID, have map[vaneyoke.VMID]vaneyoke.Revision, revision vaneyoke.Revision) bool {
	if len(members) == 0 {
		return true
	}
	count := 0
	for _, vm := range members {
		if have[vm] >= revision {
			count++
		}
	}
	return count >= Majority(len(members))
}
