package pinning

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	fleetWriteRate    = 150.0 // transactions a second that all nodes together make at most
	writeBurst        = 4     // transactions that a node makes at once after it made none for a while
	coalesceDelay     = 10 * time.Millisecond
	maxWriteRows      = 100 // of a transaction
	minWriteBackoff   = 250 * time.Millisecond
	maxWriteBackoff   = 4 * time.Second
	maxDropDelay      = 10 * time.Second // until rows are dropped that nobody needs any more, unless others are written before
	dropBatch         = 50
	maxPendingDrops   = 4096 // rows beyond that are left to the sweep
	admissionBase     = time.Second
	admissionMaxDelay = 10 * time.Second
)

// archive decides which records are kept in the store, too: those of the streams that this node served, while several versions of their service may have
// begun streams. They outlast the processes of all nodes.
type archive struct {
	isEnabled bool
	mixed     []vaneyoke.ServiceID // of which several versions may have begun streams
	unwritten map[StreamID]bool
	written   map[StreamID]RowKey // rows in the store
	drops     []RowKey            // rows that are to be deleted
	dropsFrom time.Time           // since when
	inFlight  *WriteRecords       // nil for none
	dueAt     time.Time           // of the next write; zero for none
	slot      time.Time           // theoretical time of the next write at the node's share of the rate
	failures  int                 // in a row
	failed    int                 // writes
}

// RowKey identifies the row of a record in the store. A corrected record has another row, so that a late write of the earlier one cannot replace it.
type RowKey struct {
	Stream   StreamID
	Revision int
}

func newArchive() archive {
	return archive{unwritten: map[StreamID]bool{}, written: map[StreamID]RowKey{}}
}

// EnableArchive makes the node keep records in the store and look for them there.
func (s *State) EnableArchive() { s.archive.isEnabled = true }

// AdmissionDelay returns how long a version of a fleet's upstreams is announced before it begins streams, so that all nodes have recorded theirs.
func AdmissionDelay(members int) time.Duration {
	return min(admissionBase+time.Duration(float64(members)/fleetWriteRate*float64(time.Second)), admissionMaxDelay)
}

// setMixed replaces the services of which several versions may have begun streams. The streams of those that are new among them are recorded.
func (s *State) setMixed(now time.Time, services []vaneyoke.ServiceID) {
	before := s.archive.mixed
	s.archive.mixed = services
	for stream, r := range s.records {
		if r.isOwn && now.Before(r.expires) && slices.Contains(services, r.Software.Service) && !slices.Contains(before, r.Software.Service) {
			s.archive.unwritten[stream] = true
		}
	}
	s.scheduleWrite(now)
}

// isMixed reports whether several versions of any of the services may have begun streams, or are about to.
func (a *archive) isMixed(services []vaneyoke.ServiceID) bool {
	return slices.ContainsFunc(services, func(service vaneyoke.ServiceID) bool { return slices.Contains(a.mixed, service) })
}

// archiveRecord has a record of this node written, unless its row has it already.
func (s *State) archiveRecord(now time.Time, r *record) {
	if !slices.Contains(s.archive.mixed, r.Software.Service) {
		return
	}
	if key, ok := s.archive.written[r.Stream]; ok && key == r.rowKey() && r.isArchivedAs(r.Record) {
		return
	}
	s.archive.unwritten[r.Stream] = true
	s.scheduleWrite(now)
}

func (r *record) rowKey() RowKey { return RowKey{r.Stream, r.Revision} }

// isArchivedAs reports whether the row of a record holds the given one, and lasts as long.
func (r *record) isArchivedAs(other Record) bool {
	return r.archived.Software == other.Software && r.archived.Ambiguous == other.Ambiguous && !r.expires.After(r.archivedUntil)
}

// forgetRow has the row of a record that has expired dropped.
func (s *State) forgetRow(now time.Time, stream StreamID) {
	a := &s.archive
	delete(a.unwritten, stream)
	key, ok := a.written[stream]
	if !ok {
		return
	}
	delete(a.written, stream)
	a.drop(now, key)
	s.scheduleWrite(now)
}

// drop has rows deleted with one of the next transactions.
func (a *archive) drop(now time.Time, keys ...RowKey) {
	if len(a.drops) == 0 {
		a.dropsFrom = now
	}
	a.drops = append(a.drops, keys[:min(len(keys), max(maxPendingDrops-len(a.drops), 0))]...)
}

// scheduleWrite determines when the next transaction is due.
func (s *State) scheduleWrite(now time.Time) {
	a := &s.archive
	if !a.isEnabled || a.inFlight != nil {
		return
	}
	var due time.Time
	switch {
	case len(a.unwritten) > 0, len(a.drops) >= dropBatch:
		due = now.Add(coalesceDelay)
	case len(a.drops) > 0:
		due = a.dropsFrom.Add(maxDropDelay)
	default:
		return
	}
	if !a.dueAt.IsZero() && !a.dueAt.After(due) {
		due = a.dueAt
	}
	if allowed := a.slot.Add(-writeBurst * s.writeSpacing()); allowed.After(due) {
		due = allowed
	}
	a.dueAt = due
	s.schedule(due)
}

// writeSpacing returns the time between two transactions of this node at its share of the rate.
func (s *State) writeSpacing() time.Duration {
	return time.Duration(float64(len(s.members)+1) / fleetWriteRate * float64(time.Second))
}

// writeRows writes what is due.
func (s *State) writeRows(now time.Time) {
	a := &s.archive
	if a.dueAt.IsZero() || a.inFlight != nil {
		return
	}
	if now.Before(a.dueAt) {
		s.schedule(a.dueAt)
		return
	}
	a.dueAt = time.Time{}
	w := &WriteRecords{}
	for stream := range a.unwritten {
		r := s.held(now, stream)
		if len(w.Put) >= maxWriteRows {
			break
		}
		delete(a.unwritten, stream)
		if r == nil {
			continue
		}
		put := r.Record
		put.TTL = r.expires.Sub(now)
		w.Put = append(w.Put, put)
		if key, ok := a.written[stream]; ok && key != r.rowKey() {
			a.drop(now, key)
		}
	}
	count := min(len(a.drops), maxWriteRows-len(w.Put))
	w.Drop = slices.Clone(a.drops[:count])
	a.drops = slices.Delete(a.drops, 0, count)
	if len(w.Put)+len(w.Drop) == 0 {
		return
	}
	a.inFlight, a.slot = w, later(a.slot, now).Add(s.writeSpacing())
	s.emit(*w)
}

// recordsWritten applies the result of a transaction; one that failed is made again later.
func (s *State) recordsWritten(now time.Time, ok bool) {
	a := &s.archive
	w := a.inFlight
	if w == nil {
		return
	}
	a.inFlight = nil
	if !ok {
		a.failures++
		a.failed++
		for _, put := range w.Put {
			a.unwritten[put.Stream] = true
		}
		a.drop(now, w.Drop...)
		a.slot = later(a.slot, now.Add(min(minWriteBackoff<<min(a.failures-1, 8), maxWriteBackoff)+writeBurst*s.writeSpacing()))
		s.scheduleWrite(now)
		return
	}
	a.failures = 0
	for _, put := range w.Put {
		r := s.records[put.Stream]
		if r == nil {
			s.archive.written[put.Stream] = RowKey{put.Stream, put.Revision}
			s.forgetRow(now, put.Stream)
			continue
		}
		a.written[put.Stream] = RowKey{put.Stream, put.Revision}
		r.archived, r.archivedUntil = put, now.Add(put.TTL)
		if r.Revision != put.Revision || r.Ambiguous != put.Ambiguous || r.Software != put.Software {
			a.unwritten[put.Stream] = true
		}
	}
	s.scheduleWrite(now)
}
