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
	session *session // nil if the request cannot be resumed
	offset  int      // bytes of text that the caller holds
	digest  xxhash.Digest
}

// Chunk is new text of an answer with the cursor at its end.
type Chunk struct {
	Text   []byte
	Cursor string // "" if the request cannot be resumed
}

// read returns a reader that starts at cur, or at the beginning of the answer if cur is nil.
func (s *session) read(bodyDigest string, cur *cursor.Cursor) (*Reader, error) {
	if s.entry.BodyDigest != bodyDigest {
		return nil, vaneyoke.ErrField(vaneyoke.CodeConflict, "header.Idempotency-Key", "was used for another request")
	}
	r := &Reader{manager: s.manager, relay: s.relay, session: s}
	r.digest.Reset()
	if cur != nil {
		if err := r.seekTo(cur); err != nil {
			return nil, err
		}
	}
	s.attach()
	return r, nil
}

// seekTo moves the reader to the position of cur. It returns CodeAnswerLost if the answer differs from the one that the caller holds,
// or is shorter.
func (r *Reader) seekTo(cur *cursor.Cursor) error {
	text := r.relay.Save().Restored.Text
	if cur.Request != r.session.entry.Request || cur.Offset > len(text) || cursor.TextDigest(text[:cur.Offset]) != cur.Digest {
		r.manager.metrics.Lost.Add(1)
		return errLost()
	}
	r.offset = cur.Offset
	_, _ = r.digest.Write(text[:cur.Offset])
	return nil
}

func errLost() error {
	return vaneyoke.Err(vaneyoke.CodeAnswerLost, "the rest of the answer is no longer held")
}

// Read waits for new text or the end of the answer. The result is zero until all text has been read.
func (r *Reader) Read(ctx context.Context) (Chunk, relay.Result, error) {
	text, result, err := r.relay.Read(ctx, r.offset)
	if err != nil || len(text) == 0 {
		return Chunk{}, result, err
	}
	r.offset += len(text)
	chunk := Chunk{Text: text}
	if r.session == nil {
		return chunk, result, nil
	}
	_, _ = r.digest.Write(text)
	encoded, ok := r.session.encodeCursor(ctx, r.offset, r.digest.Sum64())
	if !ok {
		return Chunk{}, relay.Result{Ended: true, Code: vaneyoke.CodeInterrupted}, nil
	}
	chunk.Cursor = encoded
	return chunk, result, nil
}

// Resumed reports whether the caller already holds a part of the answer.
func (r *Reader) Resumed() bool { return r.session != nil && r.offset > 0 }

// Session returns the relay session that the reader reads.
func (r *Reader) Session() *relay.Session { return r.relay }

// WaitReplicated waits until the backup holds the whole answer, for at most AckTimeout.
func (r *Reader) WaitReplicated(ctx context.Context) {
	if r.session == nil {
		return
	}
	limit, cancel := context.WithTimeout(ctx, r.manager.config.AckTimeout)
	defer cancel()
	r.session.waitUntil(limit, r.session.isReplicated)
}

// Close detaches the reader. If disconnected is set, the caller left before the end of the answer, and a request that cannot be resumed is
// abandoned.
func (r *Reader) Close(disconnected bool) {
	switch {
	case r.session != nil:
		r.session.detach()
	case disconnected:
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
	s.idleSince = time.Now()
}

// idleFor returns the time since the last reader left, and 0 while there are readers.
func (s *session) idleFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 {
		return 0
	}
	return now.Sub(s.idleSince)
}
