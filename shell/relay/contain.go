package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/internal/recovered"
)

// spawn runs a part of the session in its own goroutine.
func (s *Session) spawn(work func()) { go s.contain(work) }

// contain calls a function. A panic ends this session only: it most likely follows from this request or its answers, and if the process ended, the answers
// of all other callers would be lost, and the request would meet the next node.
func (s *Session) contain(work func()) {
	defer func() {
		if value := recover(); value != nil {
			s.breakOff(recovered.New(value))
		}
	}()
	work()
}

// breakOff ends the session because of a panic.
func (s *Session) breakOff(err *recovered.Error) {
	s.relay.metrics.Panics.Add(1)
	s.relay.log.WithFields(logrus.Fields{
		"request": s.req.ID, "error": err, "stack": err.Stack, "age_ms": time.Since(s.req.ReceivedAt).Milliseconds(),
	}).Error("session_panicked")
	s.handle(time.Now(), generation.Broken{})
}
