package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Row is what the store holds of an upstream that names a limit, so that nodes which start know of it before they send anything there: where
// all of a fleet start at once, nobody could tell them.
type Row struct {
	Upstream    vaneyoke.UpstreamID
	Incarnation vaneyoke.Incarnation
	Rate        vaneyoke.PerSecond
	Revision    vaneyoke.Revision
}

// Recorded tells all rows that the store holds.
type Recorded struct{ Rows []Row }

func (Recorded) event() {}

// Write has the node write a row where its revision is the row's, 0 for no row; what became of it shows when rows are told again.
type Write struct{ Row Row }

// Remove has the node remove a row.
type Remove struct{ Row Row }

func (Write) effect()  {}
func (Remove) effect() {}

// record is what is known of an upstream's row.
type record struct {
	row     Row       // the zero value for none
	wrongAt time.Time // since when the store should hold something else; the zero time where it should not
	triedAt time.Time // when this node tried last to have it do so
}

// recorded takes in the store's rows. They tell of limits of which nothing is known; all else that a node knows is newer.
func (s *State) recorded(now time.Time, rows []Row) {
	held := make(map[vaneyoke.UpstreamID]bool, len(rows))
	for _, row := range rows {
		held[row.Upstream] = true
		s.recordOf(row.Upstream).row = row
		if s.known[row.Upstream] == nil {
			s.take(now, Notice{
				Upstream: row.Upstream, Incarnation: row.Incarnation, Limit: vaneyoke.Limit{Declared: true, Rate: row.Rate}, AgeMs: oldestNotice.Milliseconds(),
			}, "")
		}
	}
	for id, r := range s.records {
		if !held[id] {
			r.row = Row{}
		}
	}
	s.wakeToReview(now)
}

func (s *State) recordOf(upstream vaneyoke.UpstreamID) *record {
	r := s.records[upstream]
	if r == nil {
		r = &record{}
		s.records[upstream] = r
	}
	return r
}

func (s *State) wakeToReview(at time.Time) {
	if s.reviewAt.IsZero() || at.Before(s.reviewAt) {
		s.reviewAt = at
	}
}

// review has the store hold what it should of the upstreams that this node is a keeper of.
func (s *State) review(now time.Time) {
	if s.reviewAt.IsZero() || now.Before(s.reviewAt) {
		return
	}
	s.reviewAt = time.Time{}
	for id, k := range s.known {
		if k.limit.Declared {
			s.recordOf(id)
		}
	}
	for id, r := range s.records {
		wanted := s.wantedRow(id, r.row)
		switch {
		case wanted == r.row && r.row == Row{}:
			delete(s.records, id)
		case wanted == r.row:
			r.wrongAt = time.Time{}
		default:
			s.correct(now, r, wanted)
		}
	}
}

// wantedRow returns the row that the store should hold of an upstream; one that is nearly right is left as it is.
func (s *State) wantedRow(id vaneyoke.UpstreamID, row Row) Row {
	k := s.known[id]
	if k == nil || !k.limit.Declared {
		return Row{}
	}
	near := math.Abs(float64(row.Rate-k.limit.Rate)) <= nearShare*float64(k.limit.Rate)
	if row.Upstream != "" && row.Incarnation == k.incarnation && near {
		return row
	}
	return Row{Upstream: id, Incarnation: k.incarnation, Rate: k.limit.Rate, Revision: row.Revision}
}

// correct has the store hold another row, or none where that is the zero value: the first of the upstream's keepers does it, and the others
// where it has not.
func (s *State) correct(now time.Time, r *record, wanted Row) {
	if r.wrongAt.IsZero() {
		r.wrongAt = now
	}
	s.wakeToReview(now.Add(reviewEvery))
	id := wanted.Upstream
	if id == "" {
		id = r.row.Upstream
	}
	place := slices.Index(s.keepersFor(id), s.self)
	if place < 0 || now.Before(r.wrongAt.Add(time.Duration(place)*standIn)) || (!r.triedAt.IsZero() && now.Before(r.triedAt.Add(writePause))) {
		return
	}
	r.triedAt = now
	if wanted == (Row{}) {
		s.do(Remove{Row: r.row})
		return
	}
	s.do(Write{Row: wanted})
}

// keepersFor returns the nodes that give the permits of an upstream, whether or not anything is known of its limit.
func (s *State) keepersFor(upstream vaneyoke.UpstreamID) []vaneyoke.VMID {
	if k := s.known[upstream]; k != nil {
		return s.keepersOf(upstream, k)
	}
	return s.keepersOf(upstream, &known{})
}
