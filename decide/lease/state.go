package lease

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// mostDoublings bounds how far a token is raised at a time. The platform does not say which token it has seen, so that each refusal doubles the step.
const mostDoublings = 40

// State is what a node knows of one lease.
type State struct {
	self   vaneyoke.VMID
	life   vaneyoke.Incarnation
	config Config

	row     Row       // as it was last known
	seenAt  time.Time // since when the node knows that the row has this revision; zero while it knows nothing
	held    Fence     // 0 where the node does not hold the lease
	heldAt  time.Time // since when
	until   time.Time // until when the lease is proven
	actFrom time.Time // before which the holder does nothing

	refused  Fence // highest token that the platform refused
	refusals int   // in a row, without a lease that was held for a term between them
	highest  Fence // no lower than any token given out, as far as rows told
	writing  bool
	sentAt   time.Time // of the last write
	retryAt  time.Time // before which nothing is written
	unwanted time.Time // since when the node does not want the lease; zero while it does
	leaving  bool

	effects []Effect
}

// New returns the state of a node that knows nothing of the lease; life tells the node's process from all others.
func New(self vaneyoke.VMID, life vaneyoke.Incarnation, config Config) *State {
	return &State{self: self, life: life, config: config}
}

// Handle takes in an event and returns what the node has to do.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = nil
	s.expire(now)
	switch e := ev.(type) {
	case Tick:
		s.want(now, e.Want)
		s.decide(now, e.Clean)
	case Written:
		s.written(now, e)
	case Raced:
		s.raced(now, e.Row)
	case Failed:
		s.writing = false
		s.retryAt = now.Add(s.config.renewEvery() / 2)
	case Refused:
		s.refuse(e.Fence)
	case Leaving:
		s.leaving = true
		s.decide(now, e.Clean)
	}
	return s.effects
}

// Holds returns the token with which the node may act now; ok is false where it must not act. Whatever is sent must be given up after the
// configured wait.
func (s *State) Holds(now time.Time) (fence Fence, ok bool) {
	if s.held == 0 || now.Before(s.actFrom) || now.Add(s.config.Wait).After(s.until) {
		return 0, false
	}
	return s.held, true
}

// Row returns the row as it was last known; ok is false while nothing is known.
func (s *State) Row() (row Row, ok bool) { return s.row, !s.seenAt.IsZero() }

// expire notes that the lease is not proven any more.
func (s *State) expire(now time.Time) {
	if s.held != 0 && !now.Before(s.until) {
		s.lose(ReasonLapsed)
	}
}

func (s *State) lose(reason Reason) {
	if s.held == 0 {
		return
	}
	s.effects = append(s.effects, Lost{Fence: s.held, Reason: reason})
	s.held, s.until = 0, time.Time{}
}

func (s *State) want(now time.Time, want bool) {
	switch {
	case want:
		s.unwanted = time.Time{}
	case s.unwanted.IsZero():
		s.unwanted = now
	}
}

// refuse gives up a token that the platform does not take; the node needs a higher one.
func (s *State) refuse(fence Fence) {
	if fence <= s.refused {
		return // of a call that was sent before the last refusal was known
	}
	s.refused = fence
	s.refusals++
	if s.held != 0 && s.held <= s.refused {
		s.lose(ReasonRefused)
	}
}

func (s *State) decide(now time.Time, clean bool) {
	if s.writing || now.Before(s.retryAt) {
		return
	}
	if s.held != 0 {
		s.keep(now, clean)
		return
	}
	if s.leaving || !s.unwanted.IsZero() || !s.mayTake(now) {
		return
	}
	s.write(now, Record{Holder: s.self, Life: s.life, Fence: s.nextFence()})
}

// keep renews the lease, or gives it up. It is not given up before it was held for a term: another node that held it just before must not act
// again so soon.
func (s *State) keep(now time.Time, clean bool) {
	done := s.leaving || (!s.unwanted.IsZero() && now.Sub(s.unwanted) >= s.config.Term)
	switch {
	case done && now.Sub(s.heldAt) >= s.config.Term:
		free := s.row.Record
		free.Free, free.Clean = true, clean
		s.lose(ReasonReleased)
		s.write(now, free)
	case s.leaving: // it lapses
	case now.Sub(s.sentAt) >= s.config.renewEvery():
		if now.Sub(s.heldAt) >= s.config.Term {
			s.refusals = 0
		}
		s.write(now, s.row.Record)
	}
}

// mayTake reports whether the node may try to take the lease: nobody has it, or who had it has not renewed it for so long that it cannot be proven any more.
func (s *State) mayTake(now time.Time) bool {
	switch {
	case s.seenAt.IsZero(), s.row.Revision == 0, s.row.Free:
		return true
	case s.isOwn(s.row.Record):
		return true
	default:
		return now.Sub(s.seenAt) >= s.config.lapse()
	}
}

func (s *State) isOwn(r Record) bool { return r.Holder == s.self && r.Life == s.life }

// nextFence returns the token to write. A node that finds itself in the row keeps its token, unless that was refused. A row's revision comes from a counter of
// all writes to the store and is no lower than any token given out, also where the row was lost.
func (s *State) nextFence() Fence {
	if s.isOwn(s.row.Record) && !s.row.Free && s.row.Fence > s.refused {
		return s.row.Fence
	}
	return max(s.highest, s.refused) + 1<<min(s.refusals, mostDoublings)
}

func (s *State) write(now time.Time, record Record) {
	s.writing, s.sentAt = true, now
	s.effects = append(s.effects, Write{Row: Row{Record: record, Revision: s.row.Revision}})
}

func (s *State) learn(now time.Time, row Row) {
	s.row, s.seenAt = row, now
	s.highest = max(s.highest, row.Fence, Fence(row.Revision))
}

func (s *State) written(now time.Time, e Written) {
	before := s.row.Record
	s.writing = false
	s.learn(now, e.Row)
	until := e.SentAt.Add(s.config.Term)
	if e.Row.Free || !s.isOwn(e.Row.Record) || e.Row.Fence <= s.refused || !now.Before(until) {
		return
	}
	s.until = until
	if s.held == e.Row.Fence {
		return
	}
	s.held, s.heldAt, s.actFrom = e.Row.Fence, now, now
	keepsToken, wasClean := s.isOwn(before) && before.Fence == s.held, before.Free && before.Clean
	if !keepsToken && !wasClean {
		s.actFrom = now.Add(s.config.Settle)
	}
	s.effects = append(s.effects, Gained{Fence: s.held, Before: before})
}

func (s *State) raced(now time.Time, row Row) {
	s.writing = false
	s.learn(now, row)
	if s.held != 0 && (!s.isOwn(row.Record) || row.Free || row.Fence != s.held) {
		s.lose(ReasonTaken)
	}
}
