package generation

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// RestoredStream is the attempt number of the stream that another node was reading.
const RestoredStream vaneyoke.Attempt = 0

// Restored is the state of an answer that another node started.
type Restored struct {
	Prompt   []vaneyoke.TokenID
	IDs      []vaneyoke.TokenID
	Text     []byte
	Ended    bool                // whether the answer is complete
	Upstream vaneyoke.UpstreamID // upstream of the run that sent the last tokens; "" if there is no run to resume
}

// Restore returns a generation that continues where another node stopped, first by resuming the engine's stream.
func Restore(now time.Time, cfg Config, rng *rand.Rand, from Restored) (*State, []Effect) {
	s := New(cfg, rng)
	s.lastProgress = now
	s.possibleRuns = 1
	s.answer.Prompt = from.Prompt
	s.answer.tailUncertain = len(from.IDs) > 0
	if from.Ended {
		s.answer.IDs, s.answer.Text = from.IDs, from.Text
		s.answer.revealAll()
		s.ended = true
		return s, nil
	}
	if s.answer.addRestored(from, cfg.Stop) {
		s.finish(vaneyoke.FinishStop)
		return s, s.effects
	}
	switch {
	case s.complete():
		s.finish(vaneyoke.FinishLength)
	case from.Upstream != "":
		s.resume(now, &run{stream: RestoredStream, upstream: from.Upstream})
	case !cfg.Repeatable:
		s.fail(Fail{Code: vaneyoke.CodeMayHaveRun})
	default:
		s.placeAgain(now)
	}
	return s, s.effects
}

// addRestored adds the tokens from another node and reports whether they complete a stop string.
func (t *Transcript) addRestored(from Restored, stop Stop) bool {
	tailUncertain := t.tailUncertain
	matched := t.add(from.IDs, from.Text, stop)
	t.tailUncertain = tailUncertain
	return matched
}
