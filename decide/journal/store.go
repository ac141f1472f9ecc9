package journal

import (
	"container/list"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config limits the contents of a store.
type Config struct {
	MaxBytes  int           // limit of the estimated memory of all records
	Retention time.Duration // how long a record is kept after its last change
}

// PushOutcome is the result of pushing a delta.
type PushOutcome int

// The results of a push.
const (
	PushAccepted   PushOutcome = iota + 1
	PushGap                    // earlier data is missing; the sender has to send the whole session
	PushSuperseded             // another node owns the session now
)

// Store holds the records of other nodes' sessions in memory.
type Store struct {
	config    Config
	records   map[Key]*list.Element // of *record
	handles   map[Handle]Key
	lru       *list.List
	usedBytes int
	evicted   int
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{config: config, records: map[Key]*list.Element{}, handles: map[Handle]Key{}, lru: list.New()}
}

// Bytes returns the estimated memory of all records.
func (s *Store) Bytes() int { return s.usedBytes }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Evicted returns the number of records that were evicted because the memory limit was reached.
func (s *Store) Evicted() int { return s.evicted }

// Open registers the owner of a key. If another owner holds the key, it changes nothing and returns that owner's entry and true.
// An entry of epoch 0 is a query: every other entry of the same request replaces it.
func (s *Store) Open(now time.Time, key Key, entry Entry) (Entry, bool) {
	s.expire(now)
	r := s.find(key)
	if r == nil {
		s.add(now, &record{Delta: Delta{Key: key, Entry: entry}})
		return Entry{}, false
	}
	if !r.replaceableBy(entry) {
		return r.Entry, true
	}
	r.Entry = entry
	s.touch(now, key)
	return Entry{}, false
}

// replaceableBy reports whether an entry may replace the record's: one of the same owner, as long as the record has no content or the
// request and epoch are unchanged, or one of a later owner of the same request.
func (r *record) replaceableBy(entry Entry) bool {
	if !r.hasContent && r.Entry.Owner == entry.Owner {
		return true
	}
	if r.Entry.Request != entry.Request {
		return false
	}
	return entry.supersedes(r.Entry) || (entry.Owner == r.Entry.Owner && entry.Epoch == r.Entry.Epoch)
}

// Push applies a delta to the session's record.
func (s *Store) Push(now time.Time, d Delta) PushOutcome {
	s.expire(now)
	if d.Key == (Key{}) {
		return s.pushByHandle(now, d)
	}
	r := s.find(d.Key)
	if r == nil {
		return s.pushNew(now, d)
	}
	if !r.replaceableBy(d.Entry) {
		return PushSuperseded
	}
	if d.From == 0 && d.TextFrom == 0 && (d.Entry.supersedes(r.Entry) || d.Entry.Request != r.Entry.Request) {
		s.remove(d.Key)
		return s.pushNew(now, d)
	}
	s.handles[d.Handle] = d.Key
	if d.From == 0 && d.TextFrom == 0 {
		s.usedBytes -= r.size()
		r.IDs, r.Text = nil, nil // a whole session replaces the record, because its owner may have retracted tokens
		s.usedBytes += r.size()
	}
	return s.apply(now, r, d)
}

// pushByHandle applies a delta that identifies its session by a handle.
func (s *Store) pushByHandle(now time.Time, d Delta) PushOutcome {
	key, ok := s.handles[d.Handle]
	if !ok {
		return PushGap
	}
	r := s.find(key)
	if r == nil {
		delete(s.handles, d.Handle)
		return PushGap
	}
	if r.Entry.Owner != d.Handle.Owner {
		return PushSuperseded
	}
	d.Key, d.Entry = r.Key, r.Entry
	return s.apply(now, r, d)
}

// apply merges a delta from the record's owner into the record.
func (s *Store) apply(now time.Time, r *record, d Delta) PushOutcome {
	if d.From > vaneyoke.Tokens(len(r.IDs)) || d.TextFrom > len(r.Text) {
		return PushGap
	}
	s.usedBytes -= r.size()
	r.merge(d)
	s.usedBytes += r.size()
	s.touch(now, d.Key)
	s.evict()
	return PushAccepted
}

func (s *Store) pushNew(now time.Time, d Delta) PushOutcome {
	if d.From > 0 || d.TextFrom > 0 {
		return PushGap
	}
	s.handles[d.Handle] = d.Key
	s.add(now, &record{Delta: d, hasContent: true})
	return PushAccepted
}

// merge appends the ids and text that the record lacks, so that a repeated delta has no effect.
func (r *record) merge(d Delta) {
	if skip := len(r.IDs) - int(d.From); skip < len(d.IDs) {
		r.IDs = append(r.IDs, d.IDs[skip:]...)
	}
	if skip := len(r.Text) - d.TextFrom; skip < len(d.Text) {
		r.Text = append(r.Text, d.Text[skip:]...)
	}
	if d.Prompt != nil {
		r.Prompt = d.Prompt
	}
	r.Entry = d.Entry
	r.Handle = d.Handle
	if d.Stream != nil {
		r.Stream = d.Stream
	}
	r.Result = d.Result
	r.hasContent = true
}

// Get returns the stored state of a session, if any of it was pushed.
func (s *Store) Get(now time.Time, key Key) (Delta, bool) {
	s.expire(now)
	r := s.find(key)
	if r == nil || !r.hasContent {
		return Delta{}, false
	}
	return r.Delta, true
}

// Entry returns the ownership entry of a session.
func (s *Store) Entry(now time.Time, key Key) (Entry, bool) {
	s.expire(now)
	r := s.find(key)
	if r == nil {
		return Entry{}, false
	}
	return r.Entry, true
}

// TakeOver makes a node the owner of an unfinished session and returns the session's stored state.
func (s *Store) TakeOver(now time.Time, key Key, owner vaneyoke.NodeID) (Delta, bool) {
	d, ok := s.Get(now, key)
	if !ok {
		return Delta{}, false
	}
	if d.Result == nil {
		d.Entry.Owner = owner
		d.Entry.Epoch++
		s.find(key).Entry = d.Entry
		s.touch(now, key)
	}
	return d, true
}

// Drop removes the record of a session.
func (s *Store) Drop(key Key) { s.remove(key) }

func (s *Store) find(key Key) *record {
	e, ok := s.records[key]
	if !ok {
		return nil
	}
	return recordOf(e)
}

func recordOf(e *list.Element) *record {
	r, _ := e.Value.(*record)
	return r
}

func (s *Store) add(now time.Time, r *record) {
	r.updatedAt = now
	s.records[r.Key] = s.lru.PushBack(r)
	s.usedBytes += r.size()
	s.evict()
}

func (s *Store) touch(now time.Time, key Key) {
	e := s.records[key]
	recordOf(e).updatedAt = now
	s.lru.MoveToBack(e)
}

func (s *Store) remove(key Key) {
	e, ok := s.records[key]
	if !ok {
		return
	}
	s.usedBytes -= recordOf(e).size()
	delete(s.handles, recordOf(e).Handle)
	s.lru.Remove(e)
	delete(s.records, key)
}

// expire removes records that have not changed for the retention time.
func (s *Store) expire(now time.Time) {
	for e := s.lru.Front(); e != nil; e = s.lru.Front() {
		r := recordOf(e)
		if now.Sub(r.updatedAt) < s.config.Retention {
			return
		}
		s.remove(r.Key)
	}
}

// evict removes records until the memory limit is met: finished ones first, then running ones, each from the least recently changed.
func (s *Store) evict() {
	for _, finished := range []bool{true, false} {
		for e := s.lru.Front(); e != nil && s.usedBytes > s.config.MaxBytes; {
			next := e.Next()
			if r := recordOf(e); (r.Result != nil) == finished {
				s.remove(r.Key)
				s.evicted++
			}
			e = next
		}
	}
}
