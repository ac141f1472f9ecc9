package quarantine

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config holds the parameters of the quarantine.
type Config struct {
	CrashThreshold int           // crashes after which a content is blocked; 0 disables the quarantine
	BlockDuration  time.Duration // how long a content stays blocked
}

const (
	minStoredCrashes    = 2                      // crashes before a content is written to the store: a single crash is most often caused by another request
	forgetAfter         = 10 * time.Minute       // after which the crashes of a content that is not blocked are forgotten
	sameCrashWindow     = time.Second            // within which two lost requests of a content at one upstream count as one crash
	simultaneousWindow  = 100 * time.Millisecond // within which crashes count as one: upstreams that crash at the same time do so for another reason
	writeInterval       = 500 * time.Millisecond // minimum time between two writes of a content
	readerWriteDelay    = time.Second            // after which a node that reads the store writes crashes that their observers have not written
	rebroadcastInterval = 500 * time.Millisecond // minimum time between two broadcasts for neighbours that do not know of a block
	maxRecords          = 4096                   // contents in memory
	maxUnblockedRows    = 256                    // at this number of rows in the store, rows are added only for blocked contents
	pruneInterval       = 5 * time.Second        // between scans for expired records
)

// State holds what a node knows of requests that crash upstreams.
type State struct {
	config     Config
	records    map[vaneyoke.ContentID]*record
	storedRows int       // at the last RowsUpdated
	nextTick   time.Time // when Tick is due; zero for not at all
	effects    []Effect
}

// record holds what is known of a content.
type record struct {
	crashes         []Crash
	learnedAt       []time.Time   // when this node learned of each crash
	observed        bool          // whether this node observed one of the crashes
	latestOrigin    vaneyoke.VMID // the node that observed the latest crash; "" for this node
	latestAt        time.Time     // when this node learned of the latest crash
	blockedAt       time.Time     // zero if the content is not blocked
	rebroadcastAt   time.Time
	nextWrite       time.Time // earliest time of the next write or removal
	revision        vaneyoke.Revision
	storedCrashes   int               // crashes in the store's row
	ignoredRevision vaneyoke.Revision // latest revision of the row to ignore: the content was answered since, or its block has expired
	removesRow      bool              // whether this node is to remove the ignored row
}

// New returns a state without crashes.
func New(config Config) *State {
	return &State{config: config, records: map[vaneyoke.ContentID]*record{}}
}

// NextTick returns when Tick is due, the zero time for not at all.
func (s *State) NextTick() time.Time { return s.nextTick }

// Blocked reports whether a content is blocked, and for how much longer.
func (s *State) Blocked(now time.Time, content vaneyoke.ContentID) (remaining time.Duration, blocked bool) {
	r := s.records[content]
	if r == nil || r.blockedAt.IsZero() {
		return 0, false
	}
	remaining = r.blockedAt.Add(s.config.BlockDuration).Sub(now)
	return remaining, remaining > 0
}

// Handle applies an event and returns the resulting effects; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	if s.config.CrashThreshold == 0 {
		return nil
	}
	switch ev := ev.(type) {
	case CrashObserved:
		s.observeCrash(now, ev)
	case RequestCompleted:
		if s.clear(now, ev.Content, true) {
			s.emit(BroadcastCompletion(ev))
		}
	case CrashReported:
		s.handleReport(now, ev)
	case CompletionReported:
		s.clear(now, ev.Content, false)
	case RowsUpdated:
		s.updateRows(now, ev.Rows)
	case Tick:
		s.tick(now, ev.ReadsStore)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// scheduleTick makes the next tick due at the given time at the latest.
func (s *State) scheduleTick(at time.Time) {
	if s.nextTick.IsZero() || at.Before(s.nextTick) {
		s.nextTick = at
	}
}

// record returns the record of a content, and creates it if there is none. If the memory is full, it evicts the content whose latest crash is the
// oldest among those that are not blocked; it returns nil if all are blocked.
func (s *State) record(content vaneyoke.ContentID) *record {
	if r := s.records[content]; r != nil {
		return r
	}
	if len(s.records) >= maxRecords && !s.evictOldest() {
		return nil
	}
	r := &record{}
	s.records[content] = r
	return r
}

func (s *State) evictOldest() bool {
	var oldest vaneyoke.ContentID
	var since time.Time
	for content, r := range s.records {
		if r.blockedAt.IsZero() && (oldest == "" || r.latestAt.Before(since)) {
			oldest, since = content, r.latestAt
		}
	}
	delete(s.records, oldest)
	return oldest != ""
}

// observeCrash counts a crash that this node observed and broadcasts it.
func (s *State) observeCrash(now time.Time, ev CrashObserved) {
	r := s.record(ev.Content)
	if r == nil {
		return
	}
	crash := Crash{Upstream: ev.Upstream, Incarnation: ev.Incarnation}
	for i := slices.Index(r.crashes, crash); i >= 0; i = slices.Index(r.crashes, crash) {
		if now.Sub(r.learnedAt[i]) < sameCrashWindow {
			s.emit(Dismiss{Content: ev.Content, Crash: crash, Reason: ReasonSameCrash})
			return
		}
		crash.PriorCrashes++
	}
	if r.isSimultaneous(now) && !ev.SentAt.After(r.latestAt) {
		s.emit(Dismiss{Content: ev.Content, Crash: crash, Reason: ReasonSimultaneous})
		return
	}
	if s.addCrash(now, ev.Content, r, crash) {
		r.observed, r.latestOrigin = true, ""
		s.emit(BroadcastCrash{Content: ev.Content, Crash: crash})
	}
}

// handleReport counts a crash that another node reported. A neighbour that still sent a blocked content to an upstream does not know of the block,
// and is sent the crashes behind it.
func (s *State) handleReport(now time.Time, ev CrashReported) {
	r := s.record(ev.Content)
	if r == nil || slices.Contains(r.crashes, ev.Crash) {
		return
	}
	if _, blocked := s.Blocked(now, ev.Content); blocked {
		if ev.FromNeighbour && now.Sub(r.rebroadcastAt) >= rebroadcastInterval {
			r.rebroadcastAt = now
			for _, crash := range r.crashes {
				s.emit(BroadcastCrash{Content: ev.Content, Crash: crash})
			}
		}
		return
	}
	if r.isSimultaneous(now) && ev.Origin != r.latestOrigin {
		s.emit(Dismiss{Content: ev.Content, Crash: ev.Crash, Reason: ReasonSimultaneous})
		return
	}
	if s.addCrash(now, ev.Content, r, ev.Crash) {
		r.latestOrigin = ev.Origin
	}
}

// isSimultaneous reports whether a crash that is learned of now belongs to the previous one. When a data centre fails, requests with the same content
// may be running at many of its upstreams without having caused any of the crashes. A crash counts separately if its request was sent after the
// previous crash: a node checks this for its own requests before it broadcasts a crash, so consecutive reports by one node all count.
func (r *record) isSimultaneous(now time.Time) bool {
	return len(r.crashes) > 0 && now.Sub(r.latestAt) < simultaneousWindow
}

// addCrash counts a crash that is not known yet and blocks the content at the threshold. It reports whether the crash counts.
func (s *State) addCrash(now time.Time, content vaneyoke.ContentID, r *record, crash Crash) bool {
	if len(r.crashes) >= s.config.CrashThreshold {
		s.emit(Dismiss{Content: content, Crash: crash, Reason: ReasonBlocked})
		return false
	}
	r.crashes, r.learnedAt = append(r.crashes, crash), append(r.learnedAt, now)
	r.latestAt = now
	s.scheduleTick(now)
	if len(r.crashes) == s.config.CrashThreshold && r.blockedAt.IsZero() {
		r.blockedAt = now
		s.emit(Block{Content: content, Crashes: r.crashes})
	}
	return true
}

// clear drops the crashes of a content that was answered, and reports whether there were any.
func (s *State) clear(now time.Time, content vaneyoke.ContentID, own bool) bool {
	r := s.records[content]
	if r == nil || len(r.crashes) == 0 {
		return false
	}
	s.reset(now, content, r, own)
	return true
}

// reset drops everything that is known of a content; the current revision of its row in the store is ignored from now on.
func (s *State) reset(now time.Time, content vaneyoke.ContentID, r *record, removes bool) {
	if !r.blockedAt.IsZero() {
		s.emit(Unblock{Content: content})
	}
	if r.revision == 0 {
		delete(s.records, content)
		return
	}
	s.records[content] = &record{latestAt: now, revision: r.revision, ignoredRevision: r.revision, removesRow: removes}
	s.scheduleTick(now)
}

// updateRows applies the store's rows.
func (s *State) updateRows(now time.Time, rows []Row) {
	s.storedRows = len(rows)
	stored := make(map[vaneyoke.ContentID]bool, len(rows))
	for _, row := range rows {
		stored[row.Content] = true
		r := s.record(row.Content)
		if r == nil || row.Revision <= r.ignoredRevision {
			continue
		}
		r.revision, r.storedCrashes = row.Revision, len(row.Crashes)
		for _, crash := range row.Crashes {
			if !slices.Contains(r.crashes, crash) {
				s.addCrash(now, row.Content, r, crash)
			}
		}
	}
	for content, r := range s.records {
		if r.revision == 0 || stored[content] {
			continue
		}
		if r.storedCrashes > 0 && !r.blockedAt.IsZero() { // the node that removed the row knows that the content was answered, or that its block has expired
			s.emit(Unblock{Content: content})
		}
		delete(s.records, content)
	}
	s.scheduleTick(now)
}

// tick writes what the store lacks, removes obsolete rows and drops expired records.
func (s *State) tick(now time.Time, reads bool) {
	s.nextTick = time.Time{}
	for content, r := range s.records {
		switch {
		case r.removesRow:
			s.removeRow(now, content, r)
		case s.isExpired(now, r):
			s.reset(now, content, r, reads)
		default:
			s.writeRow(now, content, r, reads)
		}
		s.scheduleTick(now.Add(pruneInterval))
	}
}

func (s *State) isExpired(now time.Time, r *record) bool {
	if !r.blockedAt.IsZero() {
		return now.Sub(r.blockedAt) >= s.config.BlockDuration
	}
	return now.Sub(r.latestAt) >= forgetAfter
}

func (s *State) removeRow(now time.Time, content vaneyoke.ContentID, r *record) {
	if now.Before(r.nextWrite) {
		s.scheduleTick(r.nextWrite)
		return
	}
	r.nextWrite = now.Add(writeInterval)
	s.scheduleTick(r.nextWrite)
	s.emit(RemoveRow{Content: content, Revision: r.ignoredRevision})
}

// writeRow writes the crashes of a content to its row. The nodes that observed a crash write it; nodes that read the store write it after a delay,
// because the observers may have stopped.
func (s *State) writeRow(now time.Time, content vaneyoke.ContentID, r *record, reads bool) {
	if len(r.crashes) < minStoredCrashes || r.storedCrashes >= len(r.crashes) || (r.blockedAt.IsZero() && r.revision == 0 && s.storedRows >= maxUnblockedRows) {
		return
	}
	at := r.nextWrite
	if !r.observed {
		if !reads {
			return
		}
		at = maxTime(at, r.latestAt.Add(readerWriteDelay))
	}
	if now.Before(at) {
		s.scheduleTick(at)
		return
	}
	r.nextWrite = now.Add(writeInterval)
	s.scheduleTick(r.nextWrite)
	s.emit(WriteRow{Row: Row{Content: content, Crashes: slices.Clone(r.crashes), Revision: r.revision}})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
