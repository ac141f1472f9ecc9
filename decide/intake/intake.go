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
	Patience  time.Duration // time from which a connection that keeps the node waiting is evicted before those that are idle
}

// Phase says what an open connection is doing.
type Phase int

// The phases; String gives their names in metrics.
const (
	Unfinished Phase = iota // its next request's header is not complete, or none of it has come since it was opened
	Growing                 // the same, with a header that takes memory of its own
	Idle                    // it waits for its next request
	Receiving               // the body of its request is not complete, so that nothing has been done for it
	Answered                // its request has been answered before the rest of the body came
	Handling                // its request is being handled; it is not evicted
	phases
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case Unfinished:
		return "unfinished"
	case Growing:
		return "growing"
	case Idle:
		return "idle"
	case Receiving:
		return "receiving"
	case Answered:
		return "answered"
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
	place  *list.Element // in the list of its phase
}

// Ledger holds the accounts of a listener's connections, which keys name.
type Ledger[K comparable] struct {
	limits  Limits
	entries map[K]*entry[K]
	byPhase [phases]*list.List // of *entry[K], the one that entered the phase first at the front
	headers Bytes
}

// New returns a ledger without connections.
func New[K comparable](limits Limits) *Ledger[K] {
	l := &Ledger[K]{limits: limits, entries: map[K]*entry[K]{}}
	for p := range l.byPhase {
		l.byPhase[p] = list.New()
	}
	return l
}

// Open adds a connection and returns which others are to be closed for it; ok is false if it has no room.
func (l *Ledger[K]) Open(now time.Time, key K) (evicted []K, ok bool) {
	if evicted, ok = l.makeRoom(now, key, 1, l.limits.ConnBytes); ok {
		l.add(now, key)
	}
	return evicted, ok
}

// Enter records that a connection enters a phase. A request's header stays in memory until its connection is idle. One that was evicted, and got a request
// before it was closed, is added again.
func (l *Ledger[K]) Enter(now time.Time, key K, p Phase) {
	e := l.entries[key]
	switch {
	case e == nil:
		e = l.add(now, key)
	case e.phase == p, p == Unfinished && e.phase == Growing:
		return
	}
	if p == Idle {
		l.headers -= e.header
		e.header = 0
	}
	l.byPhase[e.phase].Remove(e.place)
	e.phase, e.since = p, now
	e.place = l.byPhase[p].PushBack(e)
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
	if e.phase == Unfinished {
		l.byPhase[Unfinished].Remove(e.place)
		e.phase = Growing
		e.place = l.byPhase[Growing].PushBack(e)
	}
	return evicted, true
}

// Trim returns which connections are to be closed because evicted ones were added again.
func (l *Ledger[K]) Trim(now time.Time) (evicted []K) {
	var none K
	evicted, _ = l.makeRoom(now, none, 0, 0)
	return evicted
}

// Close removes a connection.
func (l *Ledger[K]) Close(key K) {
	if e := l.entries[key]; e != nil {
		l.byPhase[e.phase].Remove(e.place)
		l.headers -= e.header
		delete(l.entries, key)
	}
}

// Total returns the memory that all connections take.
func (l *Ledger[K]) Total() Bytes { return l.limits.ConnBytes*Bytes(len(l.entries)) + l.headers }

// HeaderBytes returns the memory that headers take.
func (l *Ledger[K]) HeaderBytes() Bytes { return l.headers }

// Count returns the number of connections in a phase.
func (l *Ledger[K]) Count(p Phase) int { return l.byPhase[p].Len() }

func (l *Ledger[K]) add(now time.Time, key K) *entry[K] {
	e := &entry[K]{key: key, phase: Unfinished, since: now}
	e.place = l.byPhase[Unfinished].PushBack(e)
	l.entries[key] = e
	return e
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

// next returns the connection to evict next, nil for none. What nobody waits for goes first: connections that have kept the node waiting for longer than the
// patience, and idle ones; then those with a header that grows, and the oldest of the others on which no request is being handled.
func (l *Ledger[K]) next(now time.Time) *entry[K] {
	for _, p := range []Phase{Growing, Unfinished, Answered, Idle, Receiving} {
		if e := l.oldest(p); e != nil && (p == Idle || now.Sub(e.since) >= l.limits.Patience) {
			return e
		}
	}
	if e := l.oldest(Growing); e != nil {
		return e
	}
	var first *entry[K]
	for _, p := range []Phase{Unfinished, Answered, Receiving} {
		if e := l.oldest(p); e != nil && (first == nil || e.since.Before(first.since)) {
			first = e
		}
	}
	return first
}

// oldest returns the connection that entered a phase first, nil for none.
func (l *Ledger[K]) oldest(p Phase) *entry[K] {
	if first := l.byPhase[p].Front(); first != nil {
		return first.Value.(*entry[K])
	}
	return nil
}
