package mesh

import (
	"slices"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

const (
	maxRemovals = 256 // removed rows recorded per table
	maxSpans    = 64  // version ranges recorded per table
)

// removals records which rows of a table were removed, so that an update can list these instead of the keys of all remaining rows.
//
// A hub that reads the store skips versions. A row that was added and removed between two versions that it read is unknown to it. Therefore
// it sends removals only to a node that holds a version at which the hub knew the rows, and the keys of all rows to any other node.
type removals struct {
	spans     []span                   // versions at which the rows were known, in ascending order
	removedAt map[string]watch.Version // by key, the version at which the row was found missing
}

// span is an inclusive range of versions.
type span struct{ from, to watch.Version }

// addSpan records that the rows are known at a version, but not at the versions between the previous span and this one.
func (r *removals) addSpan(version watch.Version) {
	r.spans = append(r.spans, span{version, version})
	if len(r.spans) > maxSpans {
		r.spans = slices.Delete(r.spans, 0, len(r.spans)-maxSpans)
	}
}

// extendSpan records that the rows have not changed from the last known version up to a later one.
func (r *removals) extendSpan(version watch.Version) {
	if last := len(r.spans) - 1; last >= 0 {
		r.spans[last].to = max(r.spans[last].to, version)
	}
}

// recordChange records that the rows of a table changed at a version; before is nil if no rows were known.
func (r *removals) recordChange(before, after watch.Rows, version watch.Version) {
	if r.removedAt == nil {
		r.removedAt = map[string]watch.Version{}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			r.removedAt[key] = version
		}
	}
	for key := range r.removedAt {
		if _, ok := after[key]; ok {
			delete(r.removedAt, key)
		}
	}
	if len(r.removedAt) > maxRemovals {
		r.spans = nil
		clear(r.removedAt)
	}
	r.addSpan(version)
}

// covers reports whether all removals since the base version are known.
func (r *removals) covers(base watch.Version) bool {
	return slices.ContainsFunc(r.spans, func(s span) bool { return s.from <= base && base <= s.to })
}

// removedSince returns the keys of the rows removed after the base version and not added again, sorted.
func (r *removals) removedSince(base watch.Version) []string {
	var keys []string
	for key, version := range r.removedAt {
		if version > base {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
