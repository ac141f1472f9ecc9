package placement

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
)

const (
	// growthShare is the share of an answer by which a run that is in progress is taken to grow yet: runs are in all stages of their answers.
	growthShare = 0.5
	// fullMemoryShare is the share of an upstream's memory up to which it gets prompts if the length of their answers is known.
	fullMemoryShare = 0.95
	// maxPromptsAhead is how many prompts may wait at an upstream before one that is sent to it. Prompts that wait at a node are ordered among each
	// other and can still go elsewhere; those at an upstream cannot.
	maxPromptsAhead = 1
	// idleMemoryShare is the share of an upstream's memory below which it counts as idle.
	idleMemoryShare = 0.5
)

// Assess returns how soon an upstream could start a request, by the fresh load reports of its candidates. Without any, it counts as free.
func (s *State) Assess(now time.Time, need Need) admission.Room {
	var best admission.Room
	anyReported, anyIdle := false, false
	for _, e := range s.candidates(now, need) {
		if !e.hasFreshReport(now) {
			continue
		}
		room := s.roomAt(now, e, need)
		if !anyReported || isSooner(room, best) {
			best = room
		}
		anyReported, anyIdle = true, anyIdle || room.Idle
	}
	if !anyReported {
		return admission.Room{Free: true}
	}
	best.Idle = anyIdle
	return best
}

// roomAt returns how soon an upstream with a fresh load report could start a request.
func (s *State) roomAt(now time.Time, e *entry, need Need) admission.Room {
	isFree := e.fits(now, need) && !e.declines.isRecent(now)
	return admission.Room{Free: isFree, Idle: isFree && e.isIdle(), Start: s.expectedStart(now, e, need), Run: s.expectedRun(now, e, need)}
}

// isSooner reports whether a request is better sent to the upstream with room a than to that with room b.
func isSooner(a, b admission.Room) bool {
	if a.Free != b.Free {
		return a.Free
	}
	return a.Start < b.Start
}

// fits reports whether the upstream has a slot for a run, and memory for all of it besides the prompts that wait, the work that this node has sent
// since the load report, and the growth of what runs there.
func (e *entry) fits(now time.Time, need Need) bool {
	if !e.hasFreshReport(now) {
		return true
	}
	if e.upstream.Slots > 0 && e.report.Runs >= e.upstream.Slots {
		return false
	}
	if e.report.KVSize == 0 || (e.report.KVInUse == 0 && e.queuedTokens(now, need) == 0) {
		return true
	}
	share := maxMemoryShare
	if need.AnswerTokens > 0 {
		share = fullMemoryShare
	}
	return float64(e.expectedMemory(need)+need.memory()) <= share*float64(e.report.KVSize)
}

// expectedMemory returns the memory that the upstream's runs, replicas and queued prompts will take, each taken to be as long as the given one.
func (e *entry) expectedMemory(need Need) vaneyoke.Tokens {
	_, unreported := e.unreported()
	waiting := vaneyoke.Tokens(e.report.PendingPrompts) * need.memory()
	growth := growthShare * float64(need.AnswerTokens)
	mean := max(float64(need.PromptBytes)+growth, 1)
	growing := max(float64(e.report.Runs-e.report.PendingPrompts), float64(e.report.KVInUse)/mean) // runs and replicas
	return e.report.KVInUse + waiting + unreported + vaneyoke.Tokens(growing*growth)
}

// isIdle reports whether a prompt would have the upstream nearly to itself.
func (e *entry) isIdle() bool {
	prompt, memory := e.unreported()
	if e.report.PendingPrompts > 0 || prompt > 0 {
		return false
	}
	if e.report.KVSize == 0 {
		return e.report.Runs == 0
	}
	return float64(e.report.KVInUse+memory) < idleMemoryShare*float64(e.report.KVSize)
}

// queuedTokens returns the prompt tokens that the upstream has yet to prefill, if all prompts are as long as the given one.
func (e *entry) queuedTokens(now time.Time, need Need) vaneyoke.Tokens {
	prompt, _ := e.unreported()
	if !e.hasFreshReport(now) {
		return prompt
	}
	return vaneyoke.Tokens(e.report.PendingPrompts*need.PromptBytes) + prompt
}
