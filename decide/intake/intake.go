package intake

import (
	"container/list"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// Limits bounds the connections of a listener; a zero field is no bound.
type Limits struct {
	Conns     int           // most connections
	Bytes     Bytes         // memory for connections and headers
	ConnBytes Bytes         // memory that a connection takes without a header
	Patience  time.Duration // time from which a connection without a complete header is evicted before those that are idle
}

// Phase says what an open connection is doing.
type Phase int

// The phases; String gives their names in metrics.
const (
	Unfinished Phase = iota // its next request's header is not complete, or none of it has come since it was opened
	Idle                    // it waits for its next request
	Handling                // its request is being handled; it is not evicted
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case Unfinished:
		return "unfinished"
	case Idle:
		return "idle"
	case Handling:
		return "handling"
	default:
		return "unknown"
	}
}

// entry is the account of a connection.
type entry[K comparable] struct {
	key    K
	phase  Phase
	since  time.Time // start of the phase
	header Bytes
	place  *list.Element // in the list of its phase, oldest first; nil while it is handling
}

// Ledger holds the accounts of a listener's connections, which keys name.
type Ledger[K comparable] struct {
	limits     Limits
	entries    map[K]*entry[K]
	unfinished *list.List // of *entry[K], the oldest first
	idle       *list.List
	headers    Bytes
}

// New returns a ledger without connections.
func New[K comparable](limits Limits) *Ledger[K] {
	return &Ledger[K]{limits: limits, entries: map[K]*entry[K]{}, unfinished: list.New(), idle: list.New()}
}

// Open adds a connection and returns which others are to be closed for it; ok is false if it has no room.
func (l *Ledger[K]) Open(now time.Time, key K) (evicted []K, ok bool) {
	if evicted, ok = l.makeRoom(now, key, 1, l.limits.ConnBytes); ok {
		l.add(now, key)
	}
	return evicted, ok
}

// Begin records that a request begins to arrive on a connection. One that was evicted, and got a request before it was closed, is added again.
func (l *Ledger[K]) Begin(now time.Time, key K) {
	if e := l.getOrAdd(now, key); e.phase != Unfinished {
		l.enter(now, e, Unfinished)
	}
}

// Grow records that a header takes more memory, and returns which other connections are to be closed for it; ok is false if this one is to be closed.
func (l *Ledger[K]) Grow(now time.Time, key K, n Bytes) (evicted []K, ok bool) {
	e := l.entries[key]
	if e == nil {
		return nil, false
	}
	if isTooLarge := l.limits.Bytes > 0 && l.limits.ConnBytes+e.header+n > l.limits.Bytes; !isTooLarge {
		evicted, ok = l.makeRoom(now, key, 0, n)
	}
	if !ok {
		l.Close(key)
		return evicted, false
	}
	e.header += n
	l.headers += n
	return evicted, true
}

// Handle records that a request is handled; its header stays in memory. A connection that was evicted is added again, as by Begin.
func (l *Ledger[K]) Handle(now time.Time, key K) { l.enter(now, l.getOrAdd(now, key), Handling) }

// Rest records that a request has been answered.
func (l *Ledger[K]) Rest(now time.Time, key K) {
	if e := l.entries[key]; e != nil {
		l.headers -= e.header
		e.header = 0
		l.enter(now, e, Idle)
	}
}

// Close removes a connection.
func (l *Ledger[K]) Close(key K) {
	if e := l.entries[key]; e != nil {
		l.leave(e)
		l.headers -= e.header
		delete(l.entries, key)
	}
}

// Total returns the memory that all connections take.
func (l *Ledger[K]) Total() Bytes { return l.limits.ConnBytes*Bytes(len(l.entries)) + l.headers }

// HeaderBytes returns the memory that headers take.
func (l *Ledger[K]) HeaderBytes() Bytes { return l.headers }

// Count returns the number of connections in a phase.
func (l *Ledger[K]) Count(p Phase) int {
	switch p {
	case Unfinished:
		return l.unfinished.Len()
	case Idle:
		return l.idle.Len()
	case Handling:
		return len(l.entries) - l.unfinished.Len() - l.idle.Len()
	default:
		return 0
	}
}

func (l *Ledger[K]) getOrAdd(now time.Time, key K) *entry[K] {
	if e := l.entries[key]; e != nil {
		return e
	}
	return l.add(now, key)
}

func (l *Ledger[K]) add(now time.Time, key K) *entry[K] {
	e := &entry[K]{key: key, phase: Unfinished, since: now}
	e.place = l.unfinished.PushBack(e)
	l.entries[key] = e
	return e
}

func (l *Ledger[K]) enter(now time.Time, e *entry[K], p Phase) {
	l.leave(e)
	e.phase, e.since = p, now
	switch p {
	case Unfinished:
		e.place = l.unfinished.PushBack(e)
	case Idle:
		e.place = l.idle.PushBack(e)
	case Handling:
	}
}

// leave takes a connection out of the list of its phase.
func (l *Ledger[K]) leave(e *entry[K]) {
	switch e.phase {
	case Unfinished:
		l.unfinished.Remove(e.place)
	case Idle:
		l.idle.Remove(e.place)
	case Handling:
	}
	e.place = nil
}

// makeRoom evicts connections until there is room for a number of connections and of bytes. ok is false if there is none, or if the connection that
// needs it would be the next to go.
func (l *Ledger[K]) makeRoom(now time.Time, key K, conns int, n Bytes) (evicted []K, ok bool) {
	for !l.hasRoom(conns, n) {
		victim := l.next(now)
		if victim == nil || victim.key == key {
			return evicted, false
		}
		evicted = append(evicted, victim.key)
		l.Close(victim.key)
	}
	return evicted, true
}

func (l *Ledger[K]) hasRoom(conns int, n Bytes) bool {
	hasConns := l.limits.Conns <= 0 || len(l.entries)+conns <= l.limits.Conns
	return hasConns && (l.limits.Bytes <= 0 || l.Total()+n <= l.limits.Bytes)
}

// next returns the connection to evict next, nil for none: the oldest that is unfinished for longer than the patience, the longest idle, or the oldest
// that is unfinished.
func (l *Ledger[K]) next(now time.Time) *entry[K] {
	unfinished, idle := front[K](l.unfinished), front[K](l.idle)
	if idle == nil || (unfinished != nil && now.Sub(unfinished.since) >= l.limits.Patience) {
		return unfinished
	}
	return idle
}

func front[K comparable](l *list.List) *entry[K] {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*entry[K])
}
