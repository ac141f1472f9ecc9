package lease

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// maxTokenDoublings bounds how far a token is raised at a time. The platform does not say which token it has seen, so each refusal doubles the step.
const maxTokenDoublings = 40

// State is a node's view of one lease.
type State struct {
	self        vaneyoke.VMID
	incarnation vaneyoke.Incarnation
	config      Config

	row        Row          // last known
	observedAt time.Time    // when the node learned that the row has this revision; zero while it knows nothing
	held       FencingToken // 0 where the node does not hold the lease
	acquiredAt time.Time
	expiresAt  time.Time
	activeFrom time.Time // the holder is inactive before this

	refused       FencingToken // highest token that the platform refused
	refusals      int          // in a row, without a lease held for a TTL between them
	highest       FencingToken // no lower than any token issued, as far as the rows seen tell
	writing       bool
	lastWriteAt   time.Time // when the last write was sent
	retryAt       time.Time // nothing is written before this
	unwantedSince time.Time // zero while the node wants the lease
	stopping      bool

	effects []Effect
}

// New returns the state of a node that knows nothing of the lease; incarnation distinguishes the node's process from all others.
func New(self vaneyoke.VMID, incarnation vaneyoke.Incarnation, config Config) *State {
	return &State{self: self, incarnation: incarnation, config: config}
}

// Handle processes an event and returns the effects to carry out.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = nil
	s.expire(now)
	switch e := ev.(type) {
	case Tick:
		s.setWanted(now, e.Want)
		s.advance(now, e.Drained)
	case Written:
		s.written(now, e)
	case Conflict:
		s.conflict(now, e.Row)
	case Failed:
		s.writing = false
		s.retryAt = now.Add(s.config.renewInterval() / 2)
	case Refused:
		s.tokenRefused(e.Token)
	case NodeStopping:
		s.stopping = true
		s.advance(now, e.Drained)
	}
	return s.effects
}

// ActiveToken returns the token with which the node may call the platform now; ok is false where it must not call. A call must be abandoned after
// Config.CallTimeout.
func (s *State) ActiveToken(now time.Time) (token FencingToken, ok bool) {
	if s.held == 0 || now.Before(s.activeFrom) || now.Add(s.config.CallTimeout).After(s.expiresAt) {
		return 0, false
	}
	return s.held, true
}

// Row returns the last known row; ok is false while nothing is known.
func (s *State) Row() (row Row, ok bool) { return s.row, !s.observedAt.IsZero() }

// expire drops a lease whose TTL is over.
func (s *State) expire(now time.Time) {
	if s.held != 0 && !now.Before(s.expiresAt) {
		s.lose(ReasonExpired)
	}
}

func (s *State) lose(reason Reason) {
	if s.held == 0 {
		return
	}
	s.effects = append(s.effects, Lost{Token: s.held, Reason: reason})
	s.held, s.expiresAt = 0, time.Time{}
}

func (s *State) setWanted(now time.Time, want bool) {
	switch {
	case want:
		s.unwantedSince = time.Time{}
	case s.unwantedSince.IsZero():
		s.unwantedSince = now
	}
}

// tokenRefused drops a lease whose token the platform refuses; the node needs a higher token.
func (s *State) tokenRefused(token FencingToken) {
	if token <= s.refused {
		return // of a call that was sent before the last refusal was known
	}
	s.refused = token
	s.refusals++
	if s.held != 0 && s.held <= s.refused {
		s.lose(ReasonRefused)
	}
}

// advance renews or releases a held lease, and otherwise tries to acquire it.
func (s *State) advance(now time.Time, drained bool) {
	if s.writing || now.Before(s.retryAt) {
		return
	}
	if s.held != 0 {
		s.renewOrRelease(now, drained)
		return
	}
	if s.stopping || !s.unwantedSince.IsZero() || !s.mayAcquire(now) {
		return
	}
	s.write(now, Record{Holder: s.self, Incarnation: s.incarnation, Token: s.nextToken()})
}

// renewOrRelease renews the lease, or releases it. It is not released before it was held for a TTL: another node that held it just before must not
// act again so soon.
func (s *State) renewOrRelease(now time.Time, drained bool) {
	done := s.stopping || (!s.unwantedSince.IsZero() && now.Sub(s.unwantedSince) >= s.config.TTL)
	switch {
	case done && now.Sub(s.acquiredAt) >= s.config.TTL:
		released := s.row.Record
		released.Released, released.Drained = true, drained
		s.lose(ReasonReleased)
		s.write(now, released)
	case s.stopping: // it expires
	case now.Sub(s.lastWriteAt) >= s.config.renewInterval():
		if now.Sub(s.acquiredAt) >= s.config.TTL {
			s.refusals = 0
		}
		s.write(now, s.row.Record)
	}
}

// mayAcquire reports whether the node may try to acquire the lease: nobody holds it, or its holder has not renewed it for so long that it must have
// expired.
func (s *State) mayAcquire(now time.Time) bool {
	switch {
	case s.observedAt.IsZero(), s.row.Revision == 0, s.row.Released:
		return true
	case s.isOwn(s.row.Record):
		return true
	default:
		return now.Sub(s.observedAt) >= s.config.takeoverAfter()
	}
}

func (s *State) isOwn(r Record) bool { return r.Holder == s.self && r.Incarnation == s.incarnation }

// nextToken returns the token to write. A node that is already the holder in the row keeps its token, unless that was refused. A row's revision comes
// from a counter of all writes to the store, so it is no lower than any token issued, even where the row was lost.
func (s *State) nextToken() FencingToken {
	if s.isOwn(s.row.Record) && !s.row.Released && s.row.Token > s.refused {
		return s.row.Token
	}
	return max(s.highest, s.refused) + 1<<min(s.refusals, maxTokenDoublings)
}

func (s *State) write(now time.Time, record Record) {
	s.writing, s.lastWriteAt = true, now
	s.effects = append(s.effects, Write{Row: Row{Record: record, Revision: s.row.Revision}})
}

func (s *State) observe(now time.Time, row Row) {
	s.row, s.observedAt = row, now
	s.highest = max(s.highest, row.Token, FencingToken(row.Revision))
}

func (s *State) written(now time.Time, e Written) {
	previous := s.row.Record
	s.writing = false
	s.observe(now, e.Row)
	expiresAt := e.SentAt.Add(s.config.TTL)
	if e.Row.Released || !s.isOwn(e.Row.Record) || e.Row.Token <= s.refused || !now.Before(expiresAt) {
		return
	}
	s.expiresAt = expiresAt
	if s.held == e.Row.Token {
		return
	}
	s.held, s.acquiredAt, s.activeFrom = e.Row.Token, now, now
	keepsToken, wasDrained := s.isOwn(previous) && previous.Token == s.held, previous.Released && previous.Drained
	if !keepsToken && !wasDrained {
		s.activeFrom = now.Add(s.config.TakeoverDelay)
	}
	s.effects = append(s.effects, Acquired{Token: s.held, Previous: previous})
}

func (s *State) conflict(now time.Time, row Row) {
	s.writing = false
	s.observe(now, row)
	if s.held != 0 && (!s.isOwn(row.Record) || row.Released || row.Token != s.held) {
		s.lose(ReasonTaken)
	}
}
