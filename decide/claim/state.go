package claim

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// retryAfter is the delay after which a caller should retry a request that may still be running.
const retryAfter = time.Second

// phase is the step that a claim is in.
type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseRunning
	phaseRevoking
	phaseSaving
	phaseDone
)

// State is the claim of one request by one node.
type State struct {
	record     Record
	phase      phase
	version    Version       // of the row once the claim is stored
	notRunCode vaneyoke.Code // why the request did not run
	effects    []Effect
}

// New returns a claim that waits for RequestReceived; record is to be stored in the stage StageClaimed.
func New(record Record) *State {
	record.Stage = StageClaimed
	return &State{record: record}
}

// Handle processes an event and returns the effects to carry out.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = nil
	switch ev := ev.(type) {
	case RequestReceived:
		s.received(now)
	case Stored:
		s.stored()
	case Conflict:
		s.conflict(ev.Existing)
	case StoreFailed:
		s.storeFailed(ev.Unknown)
	case Answered:
		s.answered(ev.Answer)
	case NotRun:
		s.notRun(ev.Code)
	case MayHaveRun:
		s.mayHaveRun()
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) received(now time.Time) {
	if s.phase != phaseNew {
		return
	}
	s.phase = phaseClaiming
	s.record.ClaimedAt = now
	s.emit(Write{Record: s.record})
	s.version = 1
}

func (s *State) stored() {
	switch s.phase {
	case phaseClaiming:
		s.phase = phaseRunning
		s.emit(Run{})
	case phaseRevoking:
		s.finish(Reply{Code: s.notRunCode})
	case phaseSaving:
		s.phase = phaseDone
	default:
	}
}

// conflict handles a write that failed because the row has another version.
func (s *State) conflict(existing Versioned) {
	switch s.phase {
	case phaseClaiming:
		s.claimConflict(existing)
	case phaseRevoking:
		s.finish(Reply{Code: s.notRunCode})
	case phaseSaving:
		s.phase = phaseDone
	default:
	}
}

func (s *State) claimConflict(existing Versioned) {
	switch {
	case existing.Request == s.record.Request && existing.Stage == StageClaimed:
		s.version = existing.Version
		s.stored()
	case existing.BodyDigest != s.record.BodyDigest:
		s.finish(Reply{Code: vaneyoke.CodeConflict})
	case existing.Stage == StageDone:
		s.finish(Reply{Code: vaneyoke.CodeOK, Answer: existing.Answer})
	case existing.Stage == StageRevoked:
		s.finish(Reply{Code: existing.NotRun})
	default:
		s.finish(Reply{Code: vaneyoke.CodeMayHaveRun, RetryAfter: retryAfter})
	}
}

// storeFailed refuses a request whose claim is not certain to be stored. This node will not run it, but an earlier request with the same key may have
// run, so the reply does not say that it did not run.
func (s *State) storeFailed(unknown bool) {
	switch s.phase {
	case phaseClaiming:
		s.refuseUnknown(unknown)
	case phaseRevoking:
		s.emit(Settle{Record: s.record})
		s.finish(Reply{Code: s.notRunCode})
	case phaseSaving:
		s.phase = phaseDone
	default:
	}
}

func (s *State) refuseUnknown(settle bool) {
	if settle {
		s.emit(Settle{Record: s.record})
	}
	s.finish(Reply{Code: vaneyoke.CodeClaimUnknown, RetryAfter: retryAfter})
}

// answered replies to the caller at once, and then stores the answer for retries with the same key.
func (s *State) answered(answer Answer) {
	if s.phase != phaseRunning {
		return
	}
	s.phase = phaseSaving
	s.emit(Reply{Code: vaneyoke.CodeOK, Answer: &answer})
	done := s.record
	done.Stage = StageDone
	done.Answer = &answer
	s.emit(Write{Record: done, Expect: s.version})
}

// notRun revokes the claim permanently: a caller can rely on the reply that the request did not run, and needs a new key to have it run.
func (s *State) notRun(code vaneyoke.Code) {
	if s.phase != phaseRunning {
		return
	}
	s.phase = phaseRevoking
	s.notRunCode = code
	revoked := s.record
	revoked.Stage = StageRevoked
	revoked.NotRun = code
	s.emit(Write{Record: revoked, Expect: s.version})
}

func (s *State) mayHaveRun() {
	if s.phase == phaseRunning {
		s.finish(Reply{Code: vaneyoke.CodeMayHaveRun})
	}
}

func (s *State) finish(reply Reply) {
	s.phase = phaseDone
	s.emit(reply)
}
