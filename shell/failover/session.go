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

// session is one of the node's own sessions, with what its backup is known to hold.
type session struct {
	manager *Manager
	key     journal.Key
	entry   journal.Entry
	handle  journal.Handle
	relay   *relay.Session

	mu      sync.Mutex
	changed *sync.Cond
	backup  membership.Peer
	backed  bool // whether there is a backup
	left    bool // whether the node has left the session to others, and pushes nothing of it any more
	acked   acked
	tried   []vaneyoke.VMID // backups that failed
	readers int
	idle    time.Time // since when nobody reads
	pushing bool
}

// acked is what a backup has confirmed.
type acked struct {
	ids    int
	text   int
	prompt bool
	result bool
	stream journal.Stream
	trims  int // of the session when the push was made
}

// confirmed returns what the backup holds of the session as it is now: nothing, once ids that it holds were taken back.
func (s *session) confirmed(saved relay.Saved) acked {
	if s.acked.trims != saved.Trims {
		return acked{trims: saved.Trims}
	}
	return s.acked
}

func newSession(m *Manager, key journal.Key, entry journal.Entry, r *relay.Session) *session {
	s := &session{manager: m, key: key, entry: entry, handle: m.handle(), relay: r, idle: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	s.chooseBackup()
	if !s.backed {
		m.metrics.NoBackup.Add(1)
	}
	return s
}

// chooseBackup takes the best node that has not failed yet.
func (s *session) chooseBackup() {
	s.backup, s.backed = s.manager.backup(s.tried)
	s.entry.Backup = s.backup.VM
	s.acked = acked{}
}

// backup returns the node for the own node's journals, leaving out some that failed.
func (m *Manager) backup(avoid []vaneyoke.VMID) (membership.Peer, bool) {
	return m.fleet.View().Backup(membership.Peer{VM: m.self.VM, DataCentre: m.dataCentre}, avoid)
}

// homeKey is what the nodes rank one another by for a session.
func homeKey(key journal.Key) string { return string(key.Workspace) + "\x00" + key.Key }

// dropBackup gives up a backup that failed and chooses another.
func (s *session) dropBackup(failed vaneyoke.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left || !s.backed || s.backup.VM != failed {
		return
	}
	s.tried = append(s.tried, failed)
	s.chooseBackup()
	if !s.backed {
		s.manager.metrics.NoBackup.Add(1)
	}
	s.changed.Broadcast()
	go s.manager.tellHomes(s.key, s.entry)
}

// whole returns the session from its beginning.
func (s *session) whole(saved relay.Saved) journal.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.since(saved, acked{})
	d.Key, d.Entry = s.key, s.entry
	return d
}

// owned returns who owns the session and where its journal is.
func (s *session) owned() journal.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// since returns what a backup that has confirmed so much lacks; only the first push names the session by its key.
func (s *session) since(saved relay.Saved, have acked) journal.Delta {
	r := saved.Restored
	d := journal.Delta{
		Handle: s.handle,
		From:   vaneyoke.Tokens(have.ids), TextFrom: have.text,
		IDs: r.IDs[have.ids:], Text: r.Text[min(have.text, len(r.Text)):],
	}
	if !have.prompt {
		d.Key, d.Entry, d.Prompt = s.key, s.entry, r.Prompt
	}
	if stream := streamOf(saved); !have.prompt || stream != have.stream {
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
	return journal.Stream{Name: saved.StreamName, Upstream: saved.Restored.Upstream, Base: saved.StreamBase}
}

// pending returns what the backup does not hold yet.
func (s *session) pending() (journal.Delta, membership.Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left || !s.backed || s.pushing || s.acked.result {
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
	return s.since(saved, s.acked), s.backup, true
}

// pushed takes in what became of a delta.
func (s *session) pushed(d journal.Delta, to vaneyoke.VMID, state journal.PushOutcome) {
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
		s.acked = acked{}
	case journal.PushSuperseded:
	}
	s.changed.Broadcast()
}

func (s *session) pushFailed(to vaneyoke.VMID) {
	s.mu.Lock()
	s.pushing = false
	s.mu.Unlock()
	s.dropBackup(to)
}

// cursor returns the mark for a caller that holds the text up to offset.
// Where the backup lags by more than a cursor can carry, it waits for the backup, and gives the backup up where that takes too long. A
// caller must not be given text, and ok is false, where the node leaves the session meanwhile: no other node could go on from there.
func (s *session) cursor(ctx context.Context, offset int, digest uint64) (mark string, ok bool) {
	c := cursor.Cursor{
		Workspace: s.key.Workspace,
		Request:   s.entry.Request,
		Owner:     s.manager.self.VM,
		Offset:    offset,
		Digest:    digest,
	}
	s.waitBacked(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left && !s.nearlyAcked() {
		return "", false
	}
	if s.backed {
		saved := s.relay.Save()
		r, have := saved.Restored, s.confirmed(saved)
		c.Stream = cursor.StreamDigest(saved.StreamName)
		c.Backup = s.backup.VM
		c.TailFrom, c.TailTextFrom = vaneyoke.Tokens(have.ids), have.text
		c.TailIDs, c.TailText = r.IDs[have.ids:], r.Text[min(have.text, len(r.Text)):]
	}
	return s.manager.ring.Encode(c), true
}

// waitBacked waits until the backup holds all but a short tail, there is no backup, or the node has left the session.
func (s *session) waitBacked(ctx context.Context) {
	for ctx.Err() == nil {
		limit, cancel := context.WithTimeout(ctx, s.manager.config.AckTimeout)
		slow, ok := s.waitUntil(limit, func() bool { return s.left || s.nearlyAcked() })
		cancel()
		if ok {
			return
		}
		if ctx.Err() == nil {
			s.dropBackup(slow)
		}
	}
}

// nearlyAcked reports whether the backup holds all but a short tail, or there is no backup.
func (s *session) nearlyAcked() bool {
	if !s.backed {
		return true
	}
	saved := s.relay.Save()
	r, have := saved.Restored, s.confirmed(saved)
	tail := len(r.IDs) - have.ids
	return have.prompt && tail <= s.manager.config.MaxTailIDs && len(r.Text)-have.text <= maxTailText
}

// sealed reports whether the backup holds the whole answer, or none will any more.
func (s *session) sealed() bool { return s.left || !s.backed || s.acked.result }

// maxTailText is the longest text that a cursor carries.
const maxTailText = 1 << 10

// waitUntil has the session pushed until done, which is called under the lock, is true; otherwise it returns the backup that took too long.
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
		s.manager.kickPush()
		s.changed.Wait()
	}
	return "", true
}
