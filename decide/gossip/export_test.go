package gossip

// Entries returns how many entries a state remembers.
func (s *State) Entries() int {
	return len(s.seen) + len(s.reportedAt) + len(s.failures) + len(s.leaving) + len(s.outbox)
}
