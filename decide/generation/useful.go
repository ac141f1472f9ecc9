package generation

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// usefulMargin is the share of the expected time that has to fit before the deadline; an attempt is refused only if even that does not.
	usefulMargin = 0.8
	// nearlyWhole is the share of the expected chunks from which an answer always continues.
	nearlyWhole = 0.9
	// minPaceChunks is the number of chunks of a run from which its mean gap counts as its pace.
	minPaceChunks = 8
	// maxShortChunks is the number of chunks up to which an answer is over before a replica of its run could be of use.
	maxShortChunks = 4
)

// Reason says why an attempt was not begun, or a replica not kept.
type Reason int

// The reasons.
const (
	ReasonFirstChunkLate Reason = iota + 1 // the first chunk is expected after the deadline
	ReasonAnswerLate                       // the end of the answer is expected after the deadline
	ReasonReplicaUseless                   // no run could continue from the replica in time
)

// String returns the reason as it is logged.
func (r Reason) String() string {
	switch r {
	case ReasonFirstChunkLate:
		return "first_chunk_late"
	case ReasonAnswerLate:
		return "answer_late"
	case ReasonReplicaUseless:
		return "replica_useless"
	default:
		return "unknown"
	}
}

// work is the expected time of an attempt; parts that are unknown are 0.
type work struct {
	first time.Duration // to its first chunk
	rest  time.Duration // from then to the end of the answer
}

// expectedWork returns the expected time of a run that continues the answer; a run from a replica reads no prompt.
func (s *State) expectedWork(fromReplica bool) work {
	w := work{first: s.forecast.FirstChunk}
	if fromReplica {
		w.first = 0
	}
	gap := s.forecast.ChunkGap
	if s.fastestGap > 0 {
		gap = min(gap, s.fastestGap)
	}
	w.rest = time.Duration(max(s.forecast.Chunks-s.answer.Len(), 0)) * gap
	return w
}

// lateness returns why a run that starts at a time and takes the expected work cannot end before the deadline, 0 if it can or that is unknown.
func (s *State) lateness(at time.Time, w work) Reason {
	if !s.cfg.UsefulOnly || s.cfg.Deadline.IsZero() || w == (work{}) || s.isNearlyWhole() {
		return 0
	}
	remaining := s.cfg.Deadline.Sub(at)
	switch {
	case scaled(w.first) > remaining:
		return ReasonFirstChunkLate
	case scaled(w.first+w.rest) > remaining:
		return ReasonAnswerLate
	default:
		return 0
	}
}

func scaled(d time.Duration) time.Duration { return time.Duration(usefulMargin * float64(d)) }

// isNearlyWhole reports whether so little of the answer is missing that it continues whatever is expected.
func (s *State) isNearlyWhole() bool {
	return s.forecast.Chunks > 0 && float64(s.answer.Len()) >= nearlyWhole*float64(s.forecast.Chunks)
}

// refuseUseless ends the answer if a further attempt that starts at a time cannot end before the deadline. The first attempt is not its concern, nor is one
// that is to confirm an end, of which no more events are expected.
func (s *State) refuseUseless(now, at time.Time, attempt vaneyoke.Attempt, fromReplica bool) bool {
	if s.stats.Attempts == 0 || s.unconfirmed {
		return false
	}
	w := s.expectedWork(fromReplica)
	reason := s.lateness(at, w)
	if reason == 0 {
		return false
	}
	s.notBegun(now, attempt, reason, w, fromReplica)
	if s.keepReplaced(attempt) {
		return true
	}
	s.failUseless(now)
	return true
}

// failUseless fails an answer that cannot be completed before the deadline.
func (s *State) failUseless(now time.Time) {
	f := s.deadlineFailure()
	f.Detail = "the answer cannot end in time"
	s.failNow(now, f)
}

// notBegun reports an attempt that is not begun, once for each attempt.
func (s *State) notBegun(now time.Time, attempt vaneyoke.Attempt, reason Reason, w work, fromReplica bool) {
	if reason != ReasonReplicaUseless {
		if attempt == s.lastNotBegun {
			return
		}
		s.lastNotBegun = attempt
	}
	s.emit(NotBegun{
		Attempt: attempt, Reason: reason, Remaining: s.cfg.Deadline.Sub(now), ExpectedFirst: w.first, ExpectedRest: w.rest, FromReplica: fromReplica,
	})
}

// replicaUseful reports whether a run that starts at a time could be continued from a replica: not if it is over after
// a few chunks, nor if its answer, and so any continuation of it, ends after the deadline.
func (s *State) replicaUseful(now, at time.Time) bool {
	w := s.expectedWork(s.replicaHolder != "")
	isShort := s.cfg.UsefulOnly && s.forecast.Chunks > 0 && s.forecast.Chunks <= maxShortChunks
	if !isShort && s.lateness(at, w) == 0 {
		return true
	}
	s.notBegun(now, s.lastAttempt, ReasonReplicaUseless, w, false)
	return false
}

// uselessAt returns when the runs that were sent can no longer complete the answer even if its first chunk comes at once; zero if that is unknown. A
// stream that has begun is left to the deadline, since its caller still gets a part of the answer.
func (s *State) uselessAt() time.Time {
	rest := scaled(s.expectedWork(true).rest)
	if !s.cfg.UsefulOnly || s.cfg.Deadline.IsZero() || rest == 0 || s.answer.Len() > 0 || !s.hasSentRun() {
		return time.Time{}
	}
	return s.cfg.Deadline.Add(-rest)
}

func (s *State) hasSentRun() bool {
	return slices.ContainsFunc(s.runs, func(r run) bool { return r.sent })
}

// endUseless ends an answer whose runs can no longer complete it, and reports whether it did.
func (s *State) endUseless(now time.Time) bool {
	at := s.uselessAt()
	if at.IsZero() || now.Before(at) {
		return false
	}
	s.emit(GivenUp{Attempt: s.lastAttempt, Remaining: s.cfg.Deadline.Sub(now), ExpectedRest: s.expectedWork(true).rest})
	s.failUseless(now)
	return true
}

// recordPace records the mean gap between the chunks of a run.
func (s *State) recordPace(r *run) {
	if r.gaps.count < minPaceChunks {
		return
	}
	if s.fastestGap == 0 || r.gaps.mean < s.fastestGap {
		s.fastestGap = r.gaps.mean
	}
}
