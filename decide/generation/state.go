package generation

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Stats counts the attempts of a generation and their overhead over an undisturbed run.
type Stats struct {
	Attempts          int             // attempts started, including resumed streams
	Losses            int             // attempts lost that may have run
	DroppedBatches    int             // batches from fenced attempts, and out of order or duplicate ones
	Suspected         int             // times that an attempt exceeded its silence limit
	DiscardedTokens   vaneyoke.Tokens // tokens received but not accepted
	ReprefilledTokens vaneyoke.Tokens // tokens sent to engines again as a prefix
}

// State is the state machine of one answer and its attempts.
type State struct {
	cfg     Config
	rng     *rand.Rand
	effects []Effect

	answer            Transcript       // accepted tokens
	events            sequence         // numbers of the accepted events of a stream
	origin            vaneyoke.Attempt // that the answer began with; 0 before that
	unconfirmed       bool             // whether an attempt has ended the answer, and another one is to confirm that nothing follows
	runs              []run
	lastAttempt       vaneyoke.Attempt // the last number assigned
	avoid             []vaneyoke.UpstreamID
	consecutiveLosses int       // without a token between them
	lastProgress      time.Time // when the last token was accepted, or the request admitted
	admittedAt        time.Time
	possibleRuns      int                 // runs that an engine may have started
	countedAttempts   int                 // runs that count against MaxAttempts: those that may have reached their upstream
	possibleArrivals  int                 // runs that may have reached an engine; later attempts count as retries
	replicaHolder     vaneyoke.UpstreamID // holds a replica of the last lost run's KV cache; "" for none
	forecast          Forecast
	fastestGap        time.Duration // lowest mean gap between the chunks of a lost or silent run; 0 for unknown
	lastNotBegun      vaneyoke.Attempt
	ended             bool
	lastCode          vaneyoke.Code // why the last attempt was not placed; CodeOK if it was
	retryAfter        time.Duration
	stats             Stats
}

// New returns a generation whose first event is Admitted.
func New(cfg Config, rng *rand.Rand) *State {
	return &State{cfg: cfg, rng: rng, events: sequence{last: cfg.ResumeAfter}}
}

// Ended reports whether the generation has finished or failed.
func (s *State) Ended() bool { return s.ended }

// Stats returns the counters so far.
func (s *State) Stats() Stats { return s.stats }

// Transcript returns the answer so far; the caller must not modify it.
func (s *State) Transcript() *Transcript { return &s.answer }

// Origin returns the attempt whose output, or whose end without output, the answer began with; 0 before that, and if another node began the answer.
func (s *State) Origin() vaneyoke.Attempt { return s.origin }

// setOrigin records that the answer begins with an attempt, unless it has begun.
func (s *State) setOrigin(attempt vaneyoke.Attempt) {
	if s.origin == 0 {
		s.origin = attempt
	}
}

// StreamingAttempt returns the attempt whose stream provides the answer's tokens, or -1 if there is none.
func (s *State) StreamingAttempt() vaneyoke.Attempt {
	for i := range s.runs {
		if s.runs[i].stage == stageStreaming || s.runs[i].resumed {
			return s.runs[i].attempt
		}
	}
	return -1
}

// LatestAttempt returns the number of the latest attempt, 0 before the first.
func (s *State) LatestAttempt() vaneyoke.Attempt { return s.lastAttempt }

// MayHaveRun reports whether any engine may have started a run.
func (s *State) MayHaveRun() bool { return s.possibleRuns > 0 }

// mayHaveRunIfEnded reports whether any engine may have started a run if the answer ends now, so that what still connects is not sent any more.
func (s *State) mayHaveRunIfEnded() bool {
	unsent := 0
	for i := range s.runs {
		if s.runs[i].connecting {
			unsent++
		}
	}
	return s.possibleRuns > unsent
}

// Handle processes an event and returns the resulting effects; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	if s.ended {
		s.countLateBatch(ev)
		return s.effects
	}
	switch ev := ev.(type) {
	case Admitted:
		s.lastProgress = now
		s.admittedAt = now
		s.place(now, 0, false)
	case Placed:
		s.placed(now, ev)
	case Forecast:
		s.forecast = ev
	case Sent:
		s.sent(now, ev)
	case TailInspected:
		s.tailInspected(ev)
	case Probed:
		s.probed(now, ev)
	case RunReported:
		s.runReported(now, ev)
	case NotPlaced:
		s.notPlaced(now, ev)
	case PromptTokenized:
		s.promptTokenized(ev)
	case *Received:
		s.received(now, ev)
	case Ended:
		s.runEnded(now, ev)
	case Lost:
		s.lost(now, ev)
	case Paused:
		s.pause(now, ev)
	case Unsent:
		s.unsent(ev)
	case Rejected:
		s.rejected(ev)
	case CallerGone:
		s.fail(Fail{Code: vaneyoke.CodeCallerGone})
	case NodeStopping:
		s.nodeStopping(ev)
	case Quarantined:
		s.quarantine(ev.RetryAfter)
	case Broken:
		s.fail(Fail{Code: vaneyoke.CodeInternal})
	case Suspended:
		s.suspended(now, ev.For)
	case Superseded:
		s.supersede()
	case Tick:
		s.tick(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// findRun returns the live run of an attempt, or nil if the attempt is fenced.
func (s *State) findRun(attempt vaneyoke.Attempt) *run {
	return s.runWhere(func(r *run) bool { return r.attempt == attempt })
}

func (s *State) runWhere(matches func(*run) bool) *run {
	for i := range s.runs {
		if matches(&s.runs[i]) {
			return &s.runs[i]
		}
	}
	return nil
}

// removeRun fences an attempt: later events of it are ignored.
func (s *State) removeRun(attempt vaneyoke.Attempt) {
	kept := s.runs[:0]
	for _, r := range s.runs {
		if r.attempt != attempt {
			kept = append(kept, r)
		}
	}
	s.runs = kept
}

func (s *State) countLateBatch(ev Event) {
	if ev, ok := ev.(*Received); ok {
		s.dropBatch(ev.Batch)
	}
}

func (s *State) dropBatch(b vaneyoke.Batch) {
	s.stats.DroppedBatches++
	s.stats.DiscardedTokens += vaneyoke.Tokens(len(b.IDs))
}

func (s *State) promptTokenized(ev PromptTokenized) {
	if s.answer.Prompt == nil && s.findRun(ev.Attempt) != nil {
		s.answer.Prompt = ev.IDs
	}
}

// received accepts a batch that comes from a live attempt and continues the answer.
func (s *State) received(now time.Time, ev *Received) {
	r := s.findRun(ev.Attempt)
	if r == nil {
		s.dropBatch(ev.Batch)
		return
	}
	want := r.nextIndex(s.answer.Len())
	if len(ev.Batch.IDs) == 0 || ev.Batch.End() <= want {
		s.dropBatch(ev.Batch)
		return
	}
	if ev.Batch.First != want {
		s.dropBatch(ev.Batch)
		s.loseRun(now, r, CauseMalformed)
		return
	}
	if r.stage != stageStreaming && !s.checkSplice(r, ev.Number) {
		s.dropBatch(ev.Batch)
		s.loseRun(now, r, CauseMalformed)
		return
	}
	r.stage = stageStreaming
	r.recover()
	r.gaps.add(now)
	if len(ev.Batch.Text) == 0 {
		r.pending = append(r.pending, ev.Batch.IDs...)
		return
	}
	s.events.add(ev.Number)
	s.accept(now, r, ev.Batch)
}

// accept appends a batch to the answer and cancels all other runs.
func (s *State) accept(now time.Time, r *run, b vaneyoke.Batch) {
	attempt := r.attempt
	s.setOrigin(attempt)
	s.breakReplaced(attempt)
	s.cancelOthers(attempt)
	r = s.findRun(attempt)
	s.answer.IDs = append(s.answer.IDs, r.pending...)
	r.pending = nil
	matched := s.answer.add(b.IDs, b.Text, s.cfg.Stop)
	s.lastProgress = now
	s.unconfirmed = false
	s.consecutiveLosses = 0
	s.avoid = s.avoid[:0]
	s.emit(Deliver{})
	if matched {
		s.finish(vaneyoke.FinishStop)
	}
}

func (s *State) cancelOthers(winner vaneyoke.Attempt) {
	if len(s.runs) == 1 {
		return
	}
	for i := range s.runs {
		if r := &s.runs[i]; r.attempt != winner {
			s.cancel(r, true, 0)
			s.uncount(r)
		}
	}
	s.runs = append(s.runs[:0], *s.findRun(winner))
}

// cancel emits the Cancel of a run and counts its pending tokens as discarded.
func (s *State) cancel(r *run, stop bool, cause Cause) {
	s.stats.DiscardedTokens += vaneyoke.Tokens(len(r.pending))
	s.emit(r.cancel(stop && r.stage != stagePlacing, cause))
}

// complete reports whether the answer has reached MaxTokens.
func (s *State) complete() bool {
	return s.cfg.MaxTokens > 0 && s.answer.Len() >= s.cfg.MaxTokens
}

// runEnded finishes the answer at the end of a live attempt's stream.
func (s *State) runEnded(now time.Time, ev Ended) {
	r := s.findRun(ev.Attempt)
	if r == nil {
		return
	}
	if len(r.pending) > 0 {
		s.accept(now, r, vaneyoke.Batch{})
	}
	if s.ended || (ev.Unconfirmed && s.confirmEnd(now, *s.findRun(ev.Attempt))) {
		return
	}
	s.setOrigin(ev.Attempt)
	s.removeRun(ev.Attempt)
	s.finish(ev.Reason)
}

func (s *State) finish(reason vaneyoke.FinishReason) {
	s.ended = true
	s.cancelAll()
	s.answer.revealAll()
	s.emit(Finish{Reason: reason, Usage: s.answer.Usage()})
}

// supersede ends the answer on this node without stopping its runs, whose streams the new owner may resume.
func (s *State) supersede() {
	s.detachRuns()
	s.fail(Fail{Code: vaneyoke.CodeSuperseded})
}

// detachRuns disconnects from the runs without stopping them.
func (s *State) detachRuns() {
	for i := range s.runs {
		s.cancel(&s.runs[i], false, 0)
	}
	s.runs = s.runs[:0]
}

// nodeStopping ends the answer. Its code promises that nothing was run only if that is certain.
func (s *State) nodeStopping(ev NodeStopping) {
	if ev.KeepRuns {
		s.detachRuns()
	}
	switch {
	case s.answer.Len() > 0:
		s.fail(Fail{Code: vaneyoke.CodeInterrupted, Detail: "the node ended"})
	case s.MayHaveRun():
		s.fail(Fail{Code: vaneyoke.CodeMayHaveRun, Detail: "the node ended"})
	default:
		s.fail(Fail{Code: vaneyoke.CodeStopping})
	}
}

func (s *State) fail(f Fail) {
	s.ended = true
	s.cancelAll()
	s.answer.revealAll()
	s.emit(f)
}

func (s *State) cancelAll() {
	for i := range s.runs {
		s.cancel(&s.runs[i], true, 0)
	}
	s.runs = s.runs[:0]
}

func (s *State) rejected(ev Rejected) {
	if s.findRun(ev.Attempt) == nil {
		return
	}
	s.removeRun(ev.Attempt)
	if len(s.runs) > 0 {
		return
	}
	code := vaneyoke.CodeRefused
	switch {
	case s.answer.Len() > 0:
		code = vaneyoke.CodeInterrupted
	case s.possibleRuns > 1:
		code = vaneyoke.CodeUpstream // this run was refused, but an earlier one may have run
	}
	s.fail(Fail{Code: code, Detail: ev.Detail})
}
