package failover

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// Reader reads an answer for one caller.
type Reader struct {
	manager *Manager
	relay   *relay.Session
	session *session // nil where the caller will not come back
	offset  int      // bytes that the caller holds
	digest  xxhash.Digest
}

// Piece is new text of an answer with the mark that goes with it.
type Chunk struct {
	Text   []byte
	Cursor string // "" where the caller will not come back
}

// read returns a reader for a caller that holds what mark says, nil for nothing.
func (s *session) read(bodyDigest string, mark *cursor.Cursor) (*Reader, error) {
	if s.entry.BodyDigest != bodyDigest {
		return nil, vaneyoke.ErrField(vaneyoke.CodeConflict, "header.Idempotency-Key", "was used for another request")
	}
	r := &Reader{manager: s.manager, relay: s.relay, session: s}
	r.digest.Reset()
	if mark != nil {
		if err := r.skip(mark); err != nil {
			return nil, err
		}
	}
	s.attach()
	return r, nil
}

// skip goes to where the caller stopped; an answer that differs from what the caller holds is told as lost.
func (r *Reader) skip(mark *cursor.Cursor) error {
	text := r.relay.Save().Restored.Text
	if mark.Request != r.session.entry.Request || mark.Offset > len(text) || cursor.TextDigest(text[:mark.Offset]) != mark.Digest {
		r.manager.metrics.Lost.Add(1)
		return errLost()
	}
	r.offset = mark.Offset
	_, _ = r.digest.Write(text[:mark.Offset])
	return nil
}

func errLost() error {
	return vaneyoke.Err(vaneyoke.CodeAnswerLost, "the rest of the answer is no longer held")
}

// Read waits for new text or the end of the answer; the result is zero until the last text has been read.
func (r *Reader) Read(ctx context.Context) (Chunk, relay.Result, error) {
	text, result, err := r.relay.Read(ctx, r.offset)
	if err != nil || len(text) == 0 {
		return Chunk{}, result, err
	}
	r.offset += len(text)
	piece := Chunk{Text: text}
	if r.session == nil {
		return piece, result, nil
	}
	_, _ = r.digest.Write(text)
	mark, ok := r.session.cursor(ctx, r.offset, r.digest.Sum64())
	if !ok {
		return Chunk{}, relay.Result{Ended: true, Code: vaneyoke.CodeInterrupted}, nil
	}
	piece.Cursor = mark
	return piece, result, nil
}

// Resumed reports whether the caller holds a part of the answer already.
func (r *Reader) Resumed() bool { return r.session != nil && r.offset > 0 }

// Session returns the session that is read.
func (r *Reader) Session() *relay.Session { return r.relay }

// Seal waits until the backup holds the whole answer, as long as that takes no longer than a backup may.
func (r *Reader) WaitReplicated(ctx context.Context) {
	if r.session == nil {
		return
	}
	limit, cancel := context.WithTimeout(ctx, r.manager.config.AckTimeout)
	defer cancel()
	r.session.waitUntil(limit, r.session.sealed)
}

// Close ends the reading; gone says that the caller left before the end of the answer.
func (r *Reader) Close(gone bool) {
	switch {
	case r.session != nil:
		r.session.detach()
	case gone:
		r.relay.Abandon()
	}
}

func (s *session) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *session) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.idle = time.Now()
}

// idleFor returns how long nobody has read the session.
func (s *session) idleFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 {
		return 0
	}
	return now.Sub(s.idle)
}
