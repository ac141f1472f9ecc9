package journal

import (
	"container/list"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config bounds what a store keeps.
type Config struct {
	MaxBytes     int           // estimated memory of all records
	Retention time.Duration // how long a record is kept after its last change
}

// PushOutcome says what became of a delta.
type PushOutcome int

// The outcomes of a push.
const (
	PushAccepted       PushOutcome = iota + 1
	PushGap                  // what came before is lacking; the whole session has to be sent
	PushSuperseded           // another node owns the session now
)

// Store keeps records of other nodes' sessions.
type Store struct {
	config  Config
	records map[Key]*list.Element // of *record, in the order of their last change
	handles map[Handle]Key
	order   *list.List
	used    int
	evicted int
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{config: config, records: map[Key]*list.Element{}, handles: map[Handle]Key{}, order: list.New()}
}

// Bytes returns the estimated memory of all records.
func (s *Store) Bytes() int { return s.used }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Evicted returns how many records were given up for lack of memory.
func (s *Store) Evicted() int { return s.evicted }

// Open notes the owner of a key; where another owner holds the key it returns that one's entry instead.
// An entry of epoch 0 only asks: it gives way to any other.
func (s *Store) Open(now time.Time, key Key, entry Entry) (Entry, bool) {
	s.expire(now)
	r := s.find(key)
	if r == nil {
		s.add(now, &record{Delta: Delta{Key: key, Entry: entry}})
		return Entry{}, false
	}
	if !r.yields(entry) {
		return r.Entry, true
	}
	r.Entry = entry
	s.touch(now, key)
	return Entry{}, false
}

// yields reports whether the record gives way to an entry: to its own owner's next word, and to a later owner of its request.
func (r *record) yields(entry Entry) bool {
	if !r.pushed && r.Entry.Owner == entry.Owner {
		return true
	}
	if r.Entry.Request != entry.Request {
		return false
	}
	return entry.newer(r.Entry) || (entry.Owner == r.Entry.Owner && entry.Epoch == r.Entry.Epoch)
}

// Push adds a delta to the session's record.
func (s *Store) Push(now time.Time, d Delta) PushOutcome {
	s.expire(now)
	if d.Key == (Key{}) {
		return s.pushKnown(now, d)
	}
	r := s.find(d.Key)
	if r == nil {
		return s.pushNew(now, d)
	}
	if !r.yields(d.Entry) {
		return PushSuperseded
	}
	if d.From == 0 && d.TextFrom == 0 && (d.Entry.newer(r.Entry) || d.Entry.Request != r.Entry.Request) {
		s.remove(d.Key)
		return s.pushNew(now, d)
	}
	s.handles[d.Handle] = d.Key
	if d.From == 0 && d.TextFrom == 0 {
		s.used -= r.size()
		r.IDs, r.Text = nil, nil // a whole session stands for itself, because its owner may have taken ids back
		s.used += r.size()
	}
	return s.extend(now, r, d)
}

// pushKnown adds a delta that names its session by a handle.
func (s *Store) pushKnown(now time.Time, d Delta) PushOutcome {
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
	return s.extend(now, r, d)
}

// extend adds a delta to a record whose owner sent it.
func (s *Store) extend(now time.Time, r *record, d Delta) PushOutcome {
	if d.From > vaneyoke.Tokens(len(r.IDs)) || d.TextFrom > len(r.Text) {
		return PushGap
	}
	s.used -= r.size()
	r.extend(d)
	s.used += r.size()
	s.touch(now, d.Key)
	s.shrink()
	return PushAccepted
}

func (s *Store) pushNew(now time.Time, d Delta) PushOutcome {
	if d.From > 0 || d.TextFrom > 0 {
		return PushGap
	}
	s.handles[d.Handle] = d.Key
	s.add(now, &record{Delta: d, pushed: true})
	return PushAccepted
}

// extend takes in what the record does not hold yet; a delta that came before changes nothing.
func (r *record) extend(d Delta) {
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
	r.pushed = true
}

// Get returns what the store holds of a session, if any of it was pushed.
func (s *Store) Get(now time.Time, key Key) (Delta, bool) {
	s.expire(now)
	r := s.find(key)
	if r == nil || !r.pushed {
		return Delta{}, false
	}
	return r.Delta, true
}

// Entry returns who owns a session.
func (s *Store) Entry(now time.Time, key Key) (Entry, bool) {
	s.expire(now)
	r := s.find(key)
	if r == nil {
		return Entry{}, false
	}
	return r.Entry, true
}

// TakeOver makes a node the owner of a session and returns what the store holds of it.
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

// Drop forgets a session.
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
	r.touched = now
	s.records[r.Key] = s.order.PushBack(r)
	s.used += r.size()
	s.shrink()
}

func (s *Store) touch(now time.Time, key Key) {
	e := s.records[key]
	recordOf(e).touched = now
	s.order.MoveToBack(e)
}

func (s *Store) remove(key Key) {
	e, ok := s.records[key]
	if !ok {
		return
	}
	s.used -= recordOf(e).size()
	delete(s.handles, recordOf(e).Handle)
	s.order.Remove(e)
	delete(s.records, key)
}

// expire forgets records that have not changed for the retention time.
func (s *Store) expire(now time.Time) {
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		r := recordOf(e)
		if now.Sub(r.touched) < s.config.Retention {
			return
		}
		s.remove(r.Key)
	}
}

// shrink gives up finished records first, oldest first, and then running ones, until the memory suffices.
func (s *Store) shrink() {
	for _, finished := range []bool{true, false} {
		for e := s.order.Front(); e != nil && s.used > s.config.MaxBytes; {
			next := e.Next()
			if r := recordOf(e); (r.Result != nil) == finished {
				s.remove(r.Key)
				s.evicted++
			}
			e = next
		}
	}
}
