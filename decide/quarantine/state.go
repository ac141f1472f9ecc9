package quarantine

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config holds the bounds of a quarantine.
type Config struct {
	CrashThreshold int           // lives of upstreams that a content has ended when it is barred; 0 for never
	BlockDuration  time.Duration // how long a content is barred
}

const (
	keepFrom  = 2                      // crashes from which a content is written to the store: one alone is most often another's
	innocent  = 10 * time.Minute       // after which the crashes of a content that is not barred are forgotten
	sameLife  = time.Second            // within which two losses of a content at an upstream are one crash
	together  = 100 * time.Millisecond // within which crashes are one: upstreams that fall together fell for another reason
	writeWait = 500 * time.Millisecond // between two writes of a content
	readWait  = time.Second            // after which a reader of the store writes what those who saw it have not
	tellAgain = 500 * time.Millisecond // between two times that a node next to this one is told what it does not know
	mostKept  = 4096                   // contents that are kept in memory
	mostRows  = 256                    // in the store, of contents that are not barred
	tidyEvery = 5 * time.Second        // between two looks for what can be forgotten
)

// State is what a node knows of requests that end upstreams.
type State struct {
	config  Config
	records map[vaneyoke.ContentID]*record
	rows    int       // in the store
	due     time.Time // of the next tick; the zero time for none
	effects []Effect
}

// record is what is known of a content.
type record struct {
	crashes  []Crash
	seen     []time.Time   // by this node, when it learned of each crash
	own      bool          // whether this node saw one of them
	by       vaneyoke.VMID // who saw the newest, "" for this node
	since    time.Time     // of the newest crash
	barredAt time.Time     // the zero time where it is not
	toldAt   time.Time
	writeAt  time.Time // before which it is not written again
	revision vaneyoke.Revision
	stored   int               // crashes in the store's row
	cleared  vaneyoke.Revision // of the newest row that counts no more: the content was answered since, or its time is over
	removes  bool              // whether this node is to remove that row
}

// New returns a state that knows of no crash.
func New(config Config) *State {
	return &State{config: config, records: map[vaneyoke.ContentID]*record{}}
}

// Next returns when Tick is due, the zero time for not at all.
func (s *State) NextTick() time.Time { return s.due }

// Barred reports whether a content is sent to no upstream, and for how long it is not.
func (s *State) Blocked(now time.Time, content vaneyoke.ContentID) (left time.Duration, barred bool) {
	r := s.records[content]
	if r == nil || r.barredAt.IsZero() {
		return 0, false
	}
	left = r.barredAt.Add(s.config.BlockDuration).Sub(now)
	return left, left > 0
}

// Handle takes in an event and returns what has to be done; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	if s.config.CrashThreshold == 0 {
		return nil
	}
	switch ev := ev.(type) {
	case CrashObserved:
		s.crashed(now, ev)
	case RequestCompleted:
		if s.clear(now, ev.Content, true) {
			s.do(BroadcastCompletion(ev))
		}
	case CrashReported:
		s.heard(now, ev)
	case CompletionReported:
		s.clear(now, ev.Content, false)
	case RowsUpdated:
		s.recorded(now, ev.Rows)
	case Tick:
		s.tick(now, ev.ReadsStore)
	}
	return s.effects
}

func (s *State) do(e Effect) { s.effects = append(s.effects, e) }

// wake has the next tick be no later than a time.
func (s *State) wake(at time.Time) {
	if s.due.IsZero() || at.Before(s.due) {
		s.due = at
	}
}

// record returns what is known of a content. Where there is no room for another, the one that is not barred and whose newest crash is
// the oldest is forgotten; nil where all are barred.
func (s *State) record(content vaneyoke.ContentID) *record {
	if r := s.records[content]; r != nil {
		return r
	}
	if len(s.records) >= mostKept && !s.makeRoom() {
		return nil
	}
	r := &record{}
	s.records[content] = r
	return r
}

func (s *State) makeRoom() bool {
	var oldest vaneyoke.ContentID
	var since time.Time
	for content, r := range s.records {
		if r.barredAt.IsZero() && (oldest == "" || r.since.Before(since)) {
			oldest, since = content, r.since
		}
	}
	delete(s.records, oldest)
	return oldest != ""
}

// crashed counts a crash that this node saw, and tells the others.
func (s *State) crashed(now time.Time, ev CrashObserved) {
	r := s.record(ev.Content)
	if r == nil {
		return
	}
	crash := Crash{Upstream: ev.Upstream, Incarnation: ev.Incarnation}
	for i := slices.Index(r.crashes, crash); i >= 0; i = slices.Index(r.crashes, crash) {
		if now.Sub(r.seen[i]) < sameLife {
			s.do(Dismiss{Content: ev.Content, Crash: crash, Reason: ReasonSameCrash})
			return
		}
		crash.EarlierCrashes++
	}
	if r.fellTogether(now) && !ev.SentAt.After(r.since) {
		s.do(Dismiss{Content: ev.Content, Crash: crash, Reason: ReasonSimultaneous})
		return
	}
	if s.add(now, ev.Content, r, crash) {
		r.own, r.by = true, ""
		s.do(BroadcastCrash{Content: ev.Content, Crash: crash})
	}
}

// heard counts a crash that another node knows. One that was still sent a barred content is told what it does not know.
func (s *State) heard(now time.Time, ev CrashReported) {
	r := s.record(ev.Content)
	if r == nil || slices.Contains(r.crashes, ev.Crash) {
		return
	}
	if _, barred := s.Blocked(now, ev.Content); barred {
		if ev.FromNeighbour && now.Sub(r.toldAt) >= tellAgain {
			r.toldAt = now
			for _, crash := range r.crashes {
				s.do(BroadcastCrash{Content: ev.Content, Crash: crash})
			}
		}
		return
	}
	if r.fellTogether(now) && ev.Origin != r.by {
		s.do(Dismiss{Content: ev.Content, Crash: ev.Crash, Reason: ReasonSimultaneous})
		return
	}
	if s.add(now, ev.Content, r, ev.Crash) {
		r.by = ev.Origin
	}
}

// fellTogether reports whether a crash that is learned of now comes with the one before. Requests that ask the same may run at many
// upstreams of a data centre that falls, and have ended none of them. It is another crash nevertheless where the request was sent after the
// one before, which a node knows of its own requests and has judged of what it tells.
func (r *record) fellTogether(now time.Time) bool {
	return len(r.crashes) > 0 && now.Sub(r.since) < together
}

// add counts a crash that is not known yet, and bars the content where there are enough; it reports whether the crash counts.
func (s *State) add(now time.Time, content vaneyoke.ContentID, r *record, crash Crash) bool {
	if len(r.crashes) >= s.config.CrashThreshold {
		s.do(Dismiss{Content: content, Crash: crash, Reason: ReasonBlocked})
		return false
	}
	r.crashes, r.seen = append(r.crashes, crash), append(r.seen, now)
	r.since = now
	s.wake(now)
	if len(r.crashes) == s.config.CrashThreshold && r.barredAt.IsZero() {
		r.barredAt = now
		s.do(Block{Content: content, Crashes: r.crashes})
	}
	return true
}

// clear takes back what is held against a content that was answered, and reports whether there was anything.
func (s *State) clear(now time.Time, content vaneyoke.ContentID, own bool) bool {
	r := s.records[content]
	if r == nil || len(r.crashes) == 0 {
		return false
	}
	s.reset(now, content, r, own)
	return true
}

// reset begins anew with a content; the row that the store has of it counts no more.
func (s *State) reset(now time.Time, content vaneyoke.ContentID, r *record, removes bool) {
	if !r.barredAt.IsZero() {
		s.do(Unblock{Content: content})
	}
	if r.revision == 0 {
		delete(s.records, content)
		return
	}
	s.records[content] = &record{since: now, revision: r.revision, cleared: r.revision, removes: removes}
	s.wake(now)
}

// recorded takes in the store's rows.
func (s *State) recorded(now time.Time, rows []Row) {
	s.rows = len(rows)
	held := make(map[vaneyoke.ContentID]bool, len(rows))
	for _, row := range rows {
		held[row.Content] = true
		r := s.record(row.Content)
		if r == nil || row.Revision <= r.cleared {
			continue
		}
		r.revision, r.stored = row.Revision, len(row.Crashes)
		for _, crash := range row.Crashes {
			if !slices.Contains(r.crashes, crash) {
				s.add(now, row.Content, r, crash)
			}
		}
	}
	for content, r := range s.records {
		if r.revision == 0 || held[content] {
			continue
		}
		if r.stored > 0 && !r.barredAt.IsZero() { // whoever removed it knows that it was answered, or that its time is over
			s.do(Unblock{Content: content})
		}
		delete(s.records, content)
	}
	s.wake(now)
}

// tick writes what the store lacks, removes rows that count no more, and forgets what is old.
func (s *State) tick(now time.Time, reads bool) {
	s.due = time.Time{}
	for content, r := range s.records {
		switch {
		case r.removes:
			s.remove(now, content, r)
		case s.isOver(now, r):
			s.reset(now, content, r, reads)
		default:
			s.write(now, content, r, reads)
		}
		s.wake(now.Add(tidyEvery))
	}
}

func (s *State) isOver(now time.Time, r *record) bool {
	if !r.barredAt.IsZero() {
		return now.Sub(r.barredAt) >= s.config.BlockDuration
	}
	return now.Sub(r.since) >= innocent
}

func (s *State) remove(now time.Time, content vaneyoke.ContentID, r *record) {
	if now.Before(r.writeAt) {
		s.wake(r.writeAt)
		return
	}
	r.writeAt = now.Add(writeWait)
	s.wake(r.writeAt)
	s.do(RemoveRow{Content: content, Revision: r.cleared})
}

// write has a content's row hold what is known of it. The nodes that saw a crash write it, and who reads the store where they have
// not, since they may have ended.
func (s *State) write(now time.Time, content vaneyoke.ContentID, r *record, reads bool) {
	if len(r.crashes) < keepFrom || r.stored >= len(r.crashes) || (r.barredAt.IsZero() && r.revision == 0 && s.rows >= mostRows) {
		return
	}
	at := r.writeAt
	if !r.own {
		if !reads {
			return
		}
		at = maxTime(at, r.since.Add(readWait))
	}
	if now.Before(at) {
		s.wake(at)
		return
	}
	r.writeAt = now.Add(writeWait)
	s.wake(r.writeAt)
	s.do(WriteRow{Row: Row{Content: content, Crashes: slices.Clone(r.crashes), Revision: r.revision}})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
