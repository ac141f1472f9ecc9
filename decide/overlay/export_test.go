package overlay

// KnownHelpers returns the number of helpers of which something is remembered.
func (s *State) KnownHelpers() int { return len(s.helpers.known) }
