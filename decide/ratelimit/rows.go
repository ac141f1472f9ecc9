package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Row is the store's row of an upstream that declares a limit. From the rows, starting nodes know of a limit before they send anything to its
// upstream: if all nodes of a fleet start at once, no other node could tell them.
type Row struct {
	Upstream    vaneyoke.UpstreamID
	Incarnation vaneyoke.Incarnation
	Rate        vaneyoke.PerSecond
	Revision    vaneyoke.Revision
}

// RowsUpdated reports all rows of the store.
type RowsUpdated struct{ Rows []Row }

func (RowsUpdated) event() {}

// WriteRow writes a row if the stored row still has its revision, 0 for no row. The result is seen in the next RowsUpdated.
type WriteRow struct{ Row Row }

// RemoveRow removes a row.
type RemoveRow struct{ Row Row }

func (WriteRow) effect()  {}
func (RemoveRow) effect() {}

// rowState is the state of an upstream's row in the store.
type rowState struct {
	row         Row       // zero if there is none
	staleSince  time.Time // since when the row has been wrong; zero if it is right
	lastAttempt time.Time // when this node last tried to correct it
}

// setRows sets the stored rows. A row counts only if no limit of its upstream is known: anything else that a node knows is newer.
func (s *State) setRows(now time.Time, rows []Row) {
	stored := make(map[vaneyoke.UpstreamID]bool, len(rows))
	for _, row := range rows {
		stored[row.Upstream] = true
		s.rowStateOf(row.Upstream).row = row
		if s.limits[row.Upstream] == nil {
			s.applyNotice(now, Notice{
				Upstream: row.Upstream, Incarnation: row.Incarnation, Limit: vaneyoke.Limit{Declared: true, Rate: row.Rate}, AgeMs: maxNoticeAge.Milliseconds(),
			}, "")
		}
	}
	for id, r := range s.rows {
		if !stored[id] {
			r.row = Row{}
		}
	}
	s.scheduleReconcile(now)
}

func (s *State) rowStateOf(upstream vaneyoke.UpstreamID) *rowState {
	r := s.rows[upstream]
	if r == nil {
		r = &rowState{}
		s.rows[upstream] = r
	}
	return r
}

func (s *State) scheduleReconcile(at time.Time) {
	if s.nextReconcile.IsZero() || at.Before(s.nextReconcile) {
		s.nextReconcile = at
	}
}

// reconcileRows corrects the stored rows of the limits that this node is an owner of.
func (s *State) reconcileRows(now time.Time) {
	if s.nextReconcile.IsZero() || now.Before(s.nextReconcile) {
		return
	}
	s.nextReconcile = time.Time{}
	for id, e := range s.limits {
		if e.limit.Declared {
			s.rowStateOf(id)
		}
	}
	for id, r := range s.rows {
		desired := s.desiredRow(id, r.row)
		switch {
		case desired == r.row && r.row == Row{}:
			delete(s.rows, id)
		case desired == r.row:
			r.staleSince = time.Time{}
		default:
			s.correctRow(now, r, desired)
		}
	}
}

// desiredRow returns the row that the store should hold for an upstream, which is the stored one if its rate is within rateTolerance.
func (s *State) desiredRow(id vaneyoke.UpstreamID, row Row) Row {
	e := s.limits[id]
	if e == nil || !e.limit.Declared {
		return Row{}
	}
	withinTolerance := math.Abs(float64(row.Rate-e.limit.Rate)) <= rateTolerance*float64(e.limit.Rate)
	if row.Upstream != "" && row.Incarnation == e.incarnation && withinTolerance {
		return row
	}
	return Row{Upstream: id, Incarnation: e.incarnation, Rate: e.limit.Rate, Revision: row.Revision}
}

// correctRow writes the desired row, or removes the stored one if the desired row is zero. The first owner of the limit does so, and the next
// ones stand in if it has not.
func (s *State) correctRow(now time.Time, r *rowState, desired Row) {
	if r.staleSince.IsZero() {
		r.staleSince = now
	}
	s.scheduleReconcile(now.Add(reconcileInterval))
	id := desired.Upstream
	if id == "" {
		id = r.row.Upstream
	}
	rank := slices.Index(s.ownersFor(id), s.self)
	if rank < 0 || now.Before(r.staleSince.Add(time.Duration(rank)*standInDelay)) || (!r.lastAttempt.IsZero() && now.Before(r.lastAttempt.Add(writeInterval))) {
		return
	}
	r.lastAttempt = now
	if desired == (Row{}) {
		s.emit(RemoveRow{Row: r.row})
		return
	}
	s.emit(WriteRow{Row: desired})
}

// ownersFor returns the owners of an upstream's limit, whether or not the limit is known.
func (s *State) ownersFor(upstream vaneyoke.UpstreamID) []vaneyoke.VMID {
	if e := s.limits[upstream]; e != nil {
		return s.ownersOf(upstream, e)
	}
	return s.ownersOf(upstream, &limitEntry{})
}
