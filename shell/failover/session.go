package failover

import (
	"context"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// session is a session owned by this node, together with the state that its backup has acknowledged.
type session struct {
	manager *Manager
	key     journal.Key
	entry   journal.Entry
	handle  journal.Handle
	relay   *relay.Session

	mu            sync.Mutex
	changed       *sync.Cond
	backup        membership.Peer
	hasBackup     bool
	released      bool // the session ends on this node; nothing of it is pushed any more
	acked         ackState
	failedBackups []vaneyoke.VMID // not chosen again
	readers       int
	idleSince     time.Time // when the last reader left
	pushing       bool
}

// ackState is the part of a session that its backup has acknowledged.
type ackState struct {
	ids    int
	text   int
	prompt bool
	result bool
	stream journal.Stream
	trims  int // number of trims of the session at the time of the push
}

// confirmed returns the acknowledged part of the session. It is empty after a trim, because the backup then holds token IDs that are no longer
// part of the session.
func (s *session) confirmed(saved relay.Saved) ackState {
	if s.acked.trims != saved.Trims {
		return ackState{trims: saved.Trims}
	}
	return s.acked
}

func newSession(m *Manager, key journal.Key, entry journal.Entry, r *relay.Session) *session {
	s := &session{manager: m, key: key, entry: entry, handle: m.newHandle(), relay: r, idleSince: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	s.chooseBackup()
	if !s.hasBackup {
		m.metrics.NoBackup.Add(1)
	}
	return s
}

// chooseBackup selects the best node among those that have not failed as a backup.
func (s *session) chooseBackup() {
	s.backup, s.hasBackup = s.manager.backup(s.failedBackups)
	s.entry.Backup = s.backup.VM
	s.acked = ackState{}
}

// backup returns the node that keeps the journals of this node, excluding the nodes in avoid.
func (m *Manager) backup(avoid []vaneyoke.VMID) (membership.Peer, bool) {
	return m.fleet.View().Backup(membership.Peer{VM: m.self.VM, DataCentre: m.dataCentre}, avoid)
}

// directoryKey returns the key by which the directory peers of a session are selected.
func directoryKey(key journal.Key) string { return string(key.Workspace) + "\x00" + key.Key }

// handOver ends the session here if another node can go on with it. Nothing of its end is pushed.
func (s *session) handOver() (saved relay.Saved, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleSince = time.Now() // its caller waits at another node
	saved, ok = s.relay.HandOver()
	s.released = s.released || ok
	return saved, ok
}

// keepComplete ends the replication of a session whose answer is complete, and reports whether it is.
func (s *session) keepComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result := s.relay.Save().Result; result == nil || result.Code != vaneyoke.CodeOK {
		return false
	}
	s.backup, s.hasBackup, s.entry.Backup = membership.Peer{}, false, ""
	s.changed.Broadcast()
	return true
}

// dropBackup replaces a backup that failed.
func (s *session) dropBackup(failed vaneyoke.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || !s.hasBackup || s.backup.VM != failed {
		return
	}
	s.failedBackups = append(s.failedBackups, failed)
	s.chooseBackup()
	if !s.hasBackup {
		s.manager.metrics.NoBackup.Add(1)
	}
	s.changed.Broadcast()
	go s.manager.updateDirectory(s.key, s.entry)
}

// fullDelta returns a delta that contains the session from its beginning.
func (s *session) fullDelta(saved relay.Saved) journal.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.deltaSince(saved, ackState{})
	d.Key, d.Entry = s.key, s.entry
	return d
}

// currentEntry returns the directory entry of the session, with its owner and its backup.
func (s *session) currentEntry() journal.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// deltaSince returns the part of the session that a backup with the given acknowledged state lacks. Only the first push carries the session's
// key; later ones refer to its handle.
func (s *session) deltaSince(saved relay.Saved, acked ackState) journal.Delta {
	r := saved.Restored
	d := journal.Delta{
		Handle: s.handle,
		From:   vaneyoke.Tokens(acked.ids), TextFrom: acked.text,
		IDs: r.IDs[acked.ids:], Text: r.Text[min(acked.text, len(r.Text)):],
	}
	if !acked.prompt {
		d.Key, d.Entry, d.Prompt = s.key, s.entry, r.Prompt
	}
	if stream := streamOf(saved); !acked.prompt || stream != acked.stream {
		d.Stream = &stream
	}
	if saved.Result != nil {
		d.Result = &journal.Result{
			Code: saved.Result.Code, Detail: saved.Result.Detail, Reason: saved.Result.Reason,
			Status: saved.Answer.Status, MediaType: saved.Answer.MediaType, Body: saved.Answer.Body,
		}
	}
	return d
}

func streamOf(saved relay.Saved) journal.Stream {
	return journal.Stream{Name: saved.StreamName, Upstream: saved.Restored.Upstream, Base: saved.StreamBase, Pin: saved.Pin}
}

// nextDelta returns the delta that the backup lacks; ok is false if there is nothing to push or a push is in progress.
func (s *session) nextDelta() (journal.Delta, membership.Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || !s.hasBackup || s.pushing || s.acked.result {
		return journal.Delta{}, membership.Peer{}, false
	}
	saved := s.relay.Save()
	r := saved.Restored
	s.acked = s.confirmed(saved)
	first := !s.acked.prompt
	if !first && len(r.IDs) == s.acked.ids && saved.Result == nil {
		return journal.Delta{}, membership.Peer{}, false
	}
	if first && len(r.IDs) == 0 && saved.Result == nil {
		return journal.Delta{}, membership.Peer{}, false
	}
	s.pushing = true
	return s.deltaSince(saved, s.acked), s.backup, true
}

// recordPush updates the acknowledged state with the outcome of a push.
func (s *session) recordPush(d journal.Delta, to vaneyoke.VMID, state journal.PushOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushing = false
	if s.backup.VM != to {
		return
	}
	switch state {
	case journal.PushAccepted:
		s.acked.ids = int(d.From) + len(d.IDs)
		s.acked.text = d.TextFrom + len(d.Text)
		s.acked.prompt = true
		s.acked.result = d.Result != nil
		if d.Stream != nil {
			s.acked.stream = *d.Stream
		}
	case journal.PushGap:
		s.acked = ackState{}
	case journal.PushSuperseded:
	}
	s.changed.Broadcast()
}

func (s *session) recordPushFailure(to vaneyoke.VMID) {
	s.mu.Lock()
	s.pushing = false
	s.mu.Unlock()
	s.dropBackup(to)
}

// encodeCursor returns the cursor for a caller that holds the text up to offset.
// If the backup lags by more than a cursor can carry, it waits for the backup, and replaces a backup that exceeds AckTimeout. If the session
// is released while it waits, ok is false, and the caller must not get the text, because no other node could resume from there.
func (s *session) encodeCursor(ctx context.Context, offset int, digest uint64) (encoded string, ok bool) {
	c := cursor.Cursor{
		Workspace: s.key.Workspace,
		Request:   s.entry.Request,
		Owner:     s.manager.self.VM,
		Offset:    offset,
		Digest:    digest,
	}
	s.waitForBackup(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released && !s.tailFitsCursor() {
		return "", false
	}
	if s.hasBackup {
		saved := s.relay.Save()
		r, acked := saved.Restored, s.confirmed(saved)
		c.Stream = cursor.StreamDigest(saved.StreamName)
		c.Backup = s.backup.VM
		c.TailFrom, c.TailTextFrom = vaneyoke.Tokens(acked.ids), acked.text
		c.TailIDs, c.TailText = r.IDs[acked.ids:], r.Text[min(acked.text, len(r.Text)):]
	}
	return s.manager.keyring.Encode(c), true
}

// waitForBackup waits until a cursor can carry everything that the backup lacks, there is no backup, or the session is released.
func (s *session) waitForBackup(ctx context.Context) {
	for ctx.Err() == nil {
		limit, cancel := context.WithTimeout(ctx, s.manager.config.AckTimeout)
		slow, ok := s.waitUntil(limit, func() bool { return s.released || s.tailFitsCursor() })
		cancel()
		if ok {
			return
		}
		if ctx.Err() == nil {
			s.dropBackup(slow)
		}
	}
}

// tailFitsCursor reports whether a cursor can carry everything that the backup lacks; it is true if there is no backup.
func (s *session) tailFitsCursor() bool {
	if !s.hasBackup {
		return true
	}
	saved := s.relay.Save()
	r, acked := saved.Restored, s.confirmed(saved)
	tail := len(r.IDs) - acked.ids
	return acked.prompt && tail <= s.manager.config.MaxTailIDs && len(r.Text)-acked.text <= maxTailTextBytes
}

// isReplicated reports whether the backup holds the whole answer, or no further push will be made.
func (s *session) isReplicated() bool { return s.released || !s.hasBackup || s.acked.result }

// maxTailTextBytes limits the text that a cursor carries.
const maxTailTextBytes = 1 << 10

// waitUntil triggers pushes until done returns true, and calls done with s.mu held. If ctx ends first, it returns the backup that was too slow.
func (s *session) waitUntil(ctx context.Context, done func() bool) (slow vaneyoke.VMID, ok bool) {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for !done() {
		if ctx.Err() != nil {
			return s.backup.VM, false
		}
		s.manager.triggerPush()
		s.changed.Wait()
	}
	return "", true
}
