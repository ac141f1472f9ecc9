package generation

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// twice is how often in a row an upstream has to say that it is ahead of what has come, since pieces may be on their way.
	twice = 2
	// standstill is how many times the pause that is aimed at a run may stand still at an upstream that works on it before
	// it goes on elsewhere, and how many times the time in which the prompt could be read anew, where there is no replica.
	standstill = 2
)

// ask asks an attempt's upstream what it does for the run; the run is waited for as long again meanwhile.
func (s *State) ask(now time.Time, r *run) {
	r.asked++
	s.do(Ask{Attempt: r.attempt, Upstream: r.upstream, Silent: now.Sub(r.heardAt()), Begun: r.gaps.count > 0})
}

// asksBefore reports whether a silent run's upstream is asked before the run is given up.
func (s *State) asksBefore(r *run) bool {
	most := s.cfg.AskSilent
	if r.gaps.count > 0 && most > 0 {
		most = math.MaxInt
	}
	return r.asked < most || (s.cfg.LastWaits && s.left() == 1)
}

// asked gives up a run that its upstream does not work on. One that it works on is waited for: leaving it would have
// another upstream do the same work, and slow what runs there.
func (s *State) asked(now time.Time, ev Asked) {
	r := s.find(ev.Attempt)
	if r == nil || r.stage == stagePlacing || r.asked == 0 { // a piece has come meanwhile
		return
	}
	if s.worthWaiting(now, r, ev) {
		return
	}
	s.stats.Suspected++
	s.lose(now, r, CauseSilent)
}

// worthWaiting reports whether a silent run is waited for after what its upstream said of it.
func (s *State) worthWaiting(now time.Time, r *run, ev Asked) bool {
	if r.gaps.count == 0 {
		return ev.Work >= vaneyoke.RunStateQueued
	}
	silent := now.Sub(r.gaps.last)
	switch ev.Work {
	case vaneyoke.RunStateUnknown:
		return false
	case vaneyoke.RunStateNone: // known only once the account must be younger than the last piece
		return silent < s.cfg.Pause
	case vaneyoke.RunStateQueued: // the same, where it was put back and is to be read anew there
		return silent < s.cfg.Pause || (r.replica == "" && silent < s.standstill(r))
	default:
		return s.progresses(silent, r, ev)
	}
}

// progresses reports whether a run that its upstream works on is waited for.
func (s *State) progresses(silent time.Duration, r *run, ev Asked) bool {
	if ev.Made > s.answer.Len() { // pieces were made that did not come: the connection may be dead
		r.ahead++
		return r.ahead < twice
	}
	r.ahead = 0
	return silent < s.standstill(r)
}

// standstill returns how long a run that its upstream works on may be silent: leaving it costs more where there is no
// replica, and the caller waits for longer than the prompt takes to read.
func (s *State) standstill(r *run) time.Duration {
	if s.cfg.LastWaits && s.left() <= 1 { // there may be nobody to go on with the answer
		return s.cfg.MaxWait
	}
	limit := standstill * s.cfg.Pause
	if r.replica != "" {
		return limit
	}
	if r.expect > 0 {
		return limit + standstill*r.expect
	}
	return limit + standstill*s.cfg.Silence.FirstToken
}

// heardAt returns when the last piece came, or when the run was placed where none has.
func (r *run) heardAt() time.Time {
	if r.gaps.count == 0 {
		return r.placedAt
	}
	return r.gaps.last
}

// heard forgets what was asked of a run's upstream, since a piece came.
func (r *run) heard() { r.asked, r.ahead = 0, 0 }
