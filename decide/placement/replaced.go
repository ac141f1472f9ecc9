package placement

import (
	"maps"

	"github.com/vaneyoke/vaneyoke"
)

// maxUnlisted is how many upstreams that are not listed any more keep their place in the order of listing.
const maxUnlisted = 4096

// listingOf returns the position of an upstream in the order of first listing, also of one that was listed before and comes back.
func (s *State) listingOf(id vaneyoke.UpstreamID) int {
	if n, ok := s.listings[id]; ok {
		return n
	}
	if len(s.listings) > len(s.entries)+maxUnlisted {
		maps.DeleteFunc(s.listings, func(id vaneyoke.UpstreamID, _ int) bool { return s.entries[id] == nil })
	}
	s.lastListed++
	s.listings[id] = s.lastListed
	return s.lastListed
}

// refreshReplaced marks the upstreams whose address a later one uses: they have ended, even if they are still listed or listed alone again.
func (s *State) refreshReplaced() {
	latest := make(map[string]*entry, len(s.sorted))
	for _, e := range s.sorted {
		other := latest[e.upstream.URL]
		switch {
		case e.upstream.URL == "":
		case other == nil:
			latest[e.upstream.URL] = e
		case e.isLaterThan(other):
			other.replaced = true
			latest[e.upstream.URL] = e
		default:
			e.replaced = true
		}
	}
}

// isLaterThan reports whether an upstream started after another one at its address: by when they say that they did, otherwise by when they were listed.
func (e *entry) isLaterThan(other *entry) bool {
	if e.upstream.Incarnation != 0 && other.upstream.Incarnation != 0 && e.upstream.Incarnation != other.upstream.Incarnation {
		return e.upstream.Incarnation > other.upstream.Incarnation
	}
	return e.listing > other.listing
}
