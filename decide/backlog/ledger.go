package backlog

import (
	"cmp"
	"slices"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// ID identifies a caller; later ones have higher IDs.
type ID uint64

// Limits bounds what is held; a zero field is no bound.
type Limits struct {
	Caller   Bytes         // unread bytes of an answer from which no more of it is read from its upstream
	Node     Bytes         // bytes held for all callers together; the node is under pressure from half of what request bodies leave of it
	Patience time.Duration // how long a caller may read nothing under pressure while more than its share is held for it
}

const (
	smallBody = 64 << 10 // largest request body that gets the part of the memory which is kept from larger ones
	keptPart  = 8        // one part in so many is kept from large bodies; small ones get it whatever answers hold
)

// caller is what is held for one caller.
type caller struct {
	body      Bytes // reserved for the request's body
	held      Bytes // of the answer: what was received before it can be delivered, and what the caller has not read
	unread    Bytes // part of the answer that the caller has not read
	lastTaken time.Time
	waiting   bool // whether it was refused growth
	cut       bool
}

// Ledger holds the accounts of all callers.
type Ledger struct {
	limits  Limits
	callers map[ID]*caller
	lastID  ID
	ahead   ID // the caller that grew beyond its share under pressure; others do so when it no longer holds as much
	bodies  Bytes
	answers Bytes
}

// New returns a ledger without callers.
func New(limits Limits) *Ledger { return &Ledger{limits: limits, callers: map[ID]*caller{}} }

// Open adds a caller.
func (l *Ledger) Open(now time.Time) ID {
	l.lastID++
	l.callers[l.lastID] = &caller{lastTaken: now}
	return l.lastID
}

// Close removes a caller and all that is held for it.
func (l *Ledger) Close(id ID) {
	if c := l.callers[id]; c != nil {
		l.bodies -= c.body
		l.answers -= c.held
		delete(l.callers, id)
	}
}

// Total returns the bytes held for all callers.
func (l *Ledger) Total() Bytes { return l.bodies + l.answers }

// Reserve reserves memory for bytes of a caller's request body, until Release or the end of the caller; ok is false if there is no room for them. What
// was reserved for other parts of the body is then released at once, as it is of no use but to others. A body that is larger than the memory for bodies
// gets room while there is no other.
func (l *Ledger) Reserve(id ID, n Bytes) (ok bool) {
	c := l.callers[id]
	if c == nil {
		return false
	}
	if l.limits.Node > 0 && !l.hasRoom(n) && (l.bodies > c.body || n <= l.roomForBodies()) {
		l.Release(id, c.body)
		return false
	}
	c.body += n
	l.bodies += n
	return true
}

// Release returns memory that was reserved for a caller's request body.
func (l *Ledger) Release(id ID, n Bytes) {
	if c := l.callers[id]; c != nil {
		n = min(n, c.body)
		c.body -= n
		l.bodies -= n
	}
}

// hasRoom reports whether there is room for a request body. Answers may exceed the limit, as each piece of one is as large as it comes.
func (l *Ledger) hasRoom(n Bytes) bool {
	if n <= smallBody && l.bodies+n <= l.limits.Node/keptPart {
		return true
	}
	return l.Total()+n <= l.limits.Node && (n <= smallBody || l.bodies+n <= l.roomForBodies())
}

// roomForBodies returns the most memory that large bodies may have together.
func (l *Ledger) roomForBodies() Bytes { return l.limits.Node - l.limits.Node/keptPart }

// Unread returns the part of a caller's answer that it has not read.
func (l *Ledger) Unread(id ID) Bytes {
	if c := l.callers[id]; c != nil {
		return c.unread
	}
	return 0
}

// Receive records bytes of an answer that can be delivered only when it is complete.
func (l *Ledger) Receive(id ID, n Bytes) {
	if c := l.callers[id]; c != nil {
		c.held += n
		l.answers += n
	}
}

// Grow records bytes of an answer that is received, before memory is allocated for them, if they may be held for its caller; ok is false if they may not.
// Under pressure, answers exceed an equal share one after another: the earliest of those that wait goes next, when the one before holds no more than that.
func (l *Ledger) Grow(id ID, n Bytes) (ok bool) {
	c := l.callers[id]
	if c == nil {
		return true
	}
	pressed := l.limits.Node > 0 && l.answers+n > l.roomForAnswers()/2
	isLarge := c.held+n > l.share()
	c.waiting = c.unread == 0 && pressed && (c.waiting || isLarge)
	if pressed && isLarge {
		if !l.mayGoAhead(id) {
			return false
		}
		l.ahead = id
	}
	l.Receive(id, n)
	return true
}

// mayGoAhead reports whether a caller may hold more than its share under pressure.
func (l *Ledger) mayGoAhead(id ID) bool {
	if l.ahead == id {
		return true
	}
	if c := l.callers[l.ahead]; c != nil && c.held > l.share() {
		return false
	}
	return l.isFirstWaiting(id)
}

// Shrink records that bytes which were received are held no longer, and will not be delivered.
func (l *Ledger) Shrink(id ID, n Bytes) {
	if c := l.callers[id]; c != nil {
		n = min(n, c.held-c.unread)
		c.held -= n
		l.answers -= n
	}
}

// Buffer records bytes of an answer that its caller has yet to read.
func (l *Ledger) Buffer(now time.Time, id ID, n Bytes) {
	c := l.callers[id]
	if c == nil {
		return
	}
	if c.unread == 0 {
		c.lastTaken = now
	}
	c.unread += n
	c.held += n
	l.answers += n
}

// Deliver records that bytes of an answer that were received before are the caller's to read.
func (l *Ledger) Deliver(now time.Time, id ID, n Bytes) {
	if c := l.callers[id]; c != nil {
		c.unread += min(n, c.held-c.unread)
		c.lastTaken = now
	}
}

// Take records that a caller has read bytes of its answer.
func (l *Ledger) Take(now time.Time, id ID, n Bytes) {
	c := l.callers[id]
	if c == nil {
		return
	}
	n = min(n, c.unread)
	c.unread -= n
	c.held -= n
	l.answers -= n
	c.lastTaken = now
}

// Verdict says whether more may be held for a caller.
type Verdict int

// The verdicts.
const (
	MayGrow    Verdict = iota
	WaitReader         // its own unread answer has reached its bound
	WaitNode           // the node is under pressure, and more than an equal share is held for the caller
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	switch v {
	case MayGrow:
		return "may_grow"
	case WaitReader:
		return "caller"
	case WaitNode:
		return "node"
	default:
		return "unknown"
	}
}

// Check returns whether more of its answer may be held for a caller. Under pressure, the earliest of the waiting callers that have nothing to read may
// grow in any case, so that callers whose answers are half received do not wait for one another.
func (l *Ledger) Check(id ID) Verdict {
	c := l.callers[id]
	if c == nil {
		return MayGrow
	}
	verdict := MayGrow
	switch {
	case l.limits.Caller > 0 && c.unread >= l.limits.Caller:
		verdict = WaitReader
	case l.underPressure() && c.held > l.share() && !l.isFirstWaiting(id):
		verdict = WaitNode
	}
	c.waiting = c.unread == 0 && l.underPressure() && (c.waiting || verdict == WaitNode)
	return verdict
}

func (l *Ledger) underPressure() bool { return l.limits.Node > 0 && l.answers > l.roomForAnswers()/2 }

// roomForAnswers returns the memory that bodies leave.
func (l *Ledger) roomForAnswers() Bytes { return max(l.limits.Node-l.bodies, 0) }

// share returns an equal share of the half of the memory for answers that is kept for callers that hold little.
func (l *Ledger) share() Bytes { return l.roomForAnswers() / 2 / Bytes(max(len(l.callers), 1)) }

// isFirstWaiting reports whether a caller is the one with the lowest ID among those that were refused growth.
func (l *Ledger) isFirstWaiting(id ID) bool {
	if c := l.callers[id]; !c.waiting || c.unread > 0 {
		return false
	}
	for other, c := range l.callers {
		if other < id && c.waiting {
			return false
		}
	}
	return true
}

// Stalled returns the callers to cut off, those with the most unread bytes first: under pressure, callers with more than their share that have
// read nothing for the patience, as many as it takes to end the pressure. It returns each caller once.
func (l *Ledger) Stalled(now time.Time) []ID {
	if !l.underPressure() {
		return nil
	}
	var ids []ID
	excess := l.answers - l.roomForAnswers()/2
	for id, c := range l.callers {
		if c.cut {
			excess -= c.held
			continue
		}
		if c.unread > 0 && c.held > l.share() && now.Sub(c.lastTaken) >= l.limits.Patience {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(l.callers[b].unread, l.callers[a].unread), cmp.Compare(a, b))
	})
	n := 0
	for ; n < len(ids) && excess > 0; n++ {
		c := l.callers[ids[n]]
		c.cut = true
		excess -= c.held
	}
	return ids[:n]
}
