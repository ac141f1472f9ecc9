package mesh

import (
	"slices"

	"github.com/vaneyoke/vaneyoke/watch"
)

// mostRemovals is how many removed rows a table remembers; a node that lacks more of them is told all keys.
const mostRemovals = 256

// removals remembers which rows of a table went, so that they can be told instead of all that are left.
type removals struct {
	since watch.Version            // from which on all that went is known
	at    map[string]watch.Version // by key, the version at which the row was found to have gone
}

// note takes in that the rows of a table are others as of a version; nil rows before say that nothing was known.
func (r *removals) note(before, after watch.Rows, version watch.Version) {
	if before == nil || r.at == nil {
		r.since, r.at = version, map[string]watch.Version{}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			r.at[key] = version
		}
	}
	for key := range r.at {
		if _, ok := after[key]; ok {
			delete(r.at, key)
		}
	}
	if len(r.at) > mostRemovals {
		r.since = version
		clear(r.at)
	}
}

// after returns the keys of the rows that went after a version and are not back, sorted.
func (r *removals) after(had watch.Version) []string {
	var gone []string
	for key, version := range r.at {
		if version > had {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	return gone
}
