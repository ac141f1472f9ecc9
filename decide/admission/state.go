package admission

import "time"

// State holds the queues of a node, one for each service.
type State struct{}

// New returns a state without requests.
func New() *State { return &State{} }

// Handle processes an event and returns the actions to take; the slice is valid until the next call.
func (s *State) Handle(_ time.Time, ev Event) []Effect {
	if ev, ok := ev.(Arrived); ok {
		return []Effect{Admit{ID: ev.Request.ID}}
	}
	return nil
}

// NextTick returns when Tick is due; zero if it is not.
func (s *State) NextTick() time.Time { return time.Time{} }
