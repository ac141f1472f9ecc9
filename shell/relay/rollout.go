package relay

import (
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// paceChunks is the number of chunks over which a stream's mean chunk gap is measured.
const paceChunks = 12

// recordAnswer records for rollouts how an attempt's upstream answered.
func (s *Session) recordAnswer(l *link, answer rollout.Answer) {
	if s.relay.rollouts != nil && !l.sentAt.IsZero() {
		s.relay.rollouts.RecordAnswer(l.upstream, vaneyoke.RouteID(s.req.Kind), answer)
	}
}

// recordChunk records that a stream has produced a chunk.
func (s *Session) recordChunk(now time.Time, l *link) {
	s.recordReceived(now, l)
	s.recordPace(now, l)
	if l.chunks == paceChunks && !l.pause.happened() {
		s.recordAnswer(l, rollout.Answer{Kind: rollout.AnswerChunkGap, Took: now.Sub(l.firstTokenAt) / (paceChunks - 1)})
	}
}

// recordEmptyEnd records for rollouts that an attempt at a stream has ended without a chunk, which is a good answer if it comes after others.
func (s *Session) recordEmptyEnd(now time.Time, l *link) {
	if !s.isStream() || l.gotFirstToken || l.outcomeReported || l.fromReplica {
		return
	}
	kind := rollout.AnswerGood
	if s.isEmpty() {
		kind = rollout.AnswerEmpty
	}
	s.recordAnswer(l, rollout.Answer{Kind: kind, Took: now.Sub(l.sentAt)})
}

// answerOf returns the answer for rollouts by the status of a complete response.
func answerOf(status int, elapsed time.Duration) rollout.Answer {
	if status >= http.StatusInternalServerError {
		return rollout.Answer{Kind: rollout.AnswerFailed, Took: elapsed}
	}
	return rollout.Answer{Kind: rollout.AnswerGood, Took: elapsed}
}
