package admission

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// assessPassive starts an assessment of one request of a passive service.
func (s *State) assessPassive(now time.Time, e *entry) {
	e.due = now.Add(assessmentTimeout)
	s.emit(Assess{ID: e.ID})
}

// handlePassive admits a request if there is room, or if too little of its caller's time is left to wait for it.
func (s *State) handlePassive(now time.Time, e *entry, room Room) {
	e.room, e.checked = room, true
	wait := placement.CapacityWait{Timeout: e.Deadline.Sub(e.arrivedAt), LatencyGoal: e.Goal.Sub(e.Received)}
	delay, ok := wait.NextCheck(e.Deadline.Sub(now))
	if room.Free || !ok {
		s.admitCapped(now, e, !room.Free)
		return
	}
	e.due = now.Add(delay)
}

// tickPassive starts the assessments of a passive service that are due.
func (s *State) tickPassive(now time.Time, q *queue) {
	for _, e := range slices.Clone(q.entries) {
		if !e.due.After(now) {
			s.assessPassive(now, e)
		}
	}
}
