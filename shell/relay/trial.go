package relay

import (
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
)

// pacePieces is how many pieces tell a stream's pace.
const pacePieces = 12

// answered tells the trier how an attempt's upstream answered.
func (s *Session) answered(l *link, answer rollout.Answer) {
	if s.relay.trier != nil && !l.sentAt.IsZero() {
		s.relay.trier.Answered(l.upstream, vaneyoke.RouteID(s.req.Kind), answer)
	}
}

// pacePiece takes in that a stream has given a piece.
func (s *Session) pacePiece(now time.Time, l *link) {
	s.heard(now, l)
	if l.pieces == pacePieces {
		s.answered(l, rollout.Answer{Kind: rollout.AnswerChunkGap, Took: now.Sub(l.begunAt) / (pacePieces - 1)})
	}
}

// wholeOutcome returns what the status of a whole answer says of its upstream.
func wholeOutcome(status int, took time.Duration) rollout.Answer {
	if status >= http.StatusInternalServerError {
		return rollout.Answer{Kind: rollout.AnswerFailed, Took: took}
	}
	return rollout.Answer{Kind: rollout.AnswerGood, Took: took}
}
