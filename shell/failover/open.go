package failover

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// homesTimeout bounds the telling of homes that a session has moved.
const homesTimeout = 2 * time.Second

// Sources of sessions that were taken over, as metrics name them.
const (
	fromOwner   = "owner"
	fromJournal = "journal"
)

// openFleetWide reserves the key at its homes; where it was used before, the session is taken over.
func (m *Manager) openFleetWide(ctx context.Context, ask OpenRequest, key journal.Key, digest string, mark *cursor.Cursor) (*session, error) {
	entry := journal.Entry{Request: ask.Request.ID, Owner: m.self, Epoch: 1, BodyDigest: digest}
	if backup, ok := m.backup(nil); ok {
		entry.Backup = backup.VM
	}
	if mark != nil {
		entry.Request, entry.Epoch = mark.Request, 0 // only asks who owns it
	}
	existing, err := m.reserve(ctx, key, entry)
	if err != nil {
		return nil, err
	}
	if len(existing) == 0 && mark == nil {
		return m.startFirst(ctx, ask, key, entry)
	}
	for _, e := range existing {
		if e.BodyDigest != digest {
			return nil, vaneyoke.ErrField(vaneyoke.CodeConflict, "header.Idempotency-Key", "was used for another request")
		}
	}
	d, found := m.takeOver(ctx, key, existing, mark)
	if !found {
		return m.startAnew(ctx, ask, key, existing, mark, entry)
	}
	if d.Entry.BodyDigest != digest {
		return nil, vaneyoke.ErrField(vaneyoke.CodeConflict, "header.Idempotency-Key", "was used for another request")
	}
	return m.restore(ctx, ask, key, d, mark)
}

// reserve opens the key at each of its homes in turn, and returns the entries of those that knew it.
func (m *Manager) reserve(ctx context.Context, key journal.Key, entry journal.Entry) ([]journal.Entry, error) {
	var existing []journal.Entry
	for _, p := range m.fleet.View().DirectoryPeers(homeKey(key)) {
		e, found, err := m.peers.Open(ctx, p, key, entry)
		if err != nil {
			m.log.WithFields(logrus.Fields{"peer": p.VM, "error": err}).Warn("open_failed")
			continue
		}
		if found {
			existing = append(existing, e)
		}
	}
	return existing, ctx.Err()
}

// startFirst starts a request whose key is new; one that may run at most once has to be claimed in the table besides.
func (m *Manager) startFirst(ctx context.Context, ask OpenRequest, key journal.Key, entry journal.Entry) (*session, error) {
	if !ask.Request.Repeatable {
		err := m.claims.Acquire(ctx, claims.Request{
			Workspace: key.Workspace, Key: key.Key, ID: entry.Request, BodyDigest: hex.EncodeToString([]byte(entry.BodyDigest)),
		})
		if err != nil {
			return nil, err
		}
	}
	return m.start(ctx, ask, key, entry), nil
}

// tellHomes tells a session's homes that its owner or its backup has changed.
func (m *Manager) tellHomes(key journal.Key, entry journal.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), homesTimeout)
	defer cancel()
	if _, err := m.reserve(ctx, key, entry); err != nil {
		m.log.WithFields(logrus.Fields{"request": entry.Request, "error": err}).Warn("homes_not_told")
	}
}

func (m *Manager) start(ctx context.Context, ask OpenRequest, key journal.Key, entry journal.Entry) *session {
	s := newSession(m, key, entry, m.relay.Generate(ctx, ask.Request))
	kept := m.add(s)
	if kept != s {
		s.relay.Abandon()
	}
	return kept
}

// startAnew runs a request whose earlier session nobody holds, if that breaks no promise.
func (m *Manager) startAnew(ctx context.Context, ask OpenRequest, key journal.Key, existing []journal.Entry, mark *cursor.Cursor, entry journal.Entry) (*session, error) {
	if mark != nil {
		m.metrics.Lost.Add(1)
		return nil, errLost()
	}
	if !ask.Request.Repeatable {
		return nil, vaneyoke.Err(vaneyoke.CodeMayHaveRun, "the request was begun at %s, which cannot be asked", existing[0].Owner.VM)
	}
	for _, e := range existing {
		entry.Request = e.Request
		entry.Epoch = max(entry.Epoch, e.Epoch+1)
	}
	if _, err := m.reserve(ctx, key, entry); err != nil {
		return nil, err
	}
	ask.Request.ID = entry.Request
	return m.start(ctx, ask, key, entry), nil
}

// takeOver asks the owner for the session, and then the journals.
func (m *Manager) takeOver(ctx context.Context, key journal.Key, existing []journal.Entry, mark *cursor.Cursor) (journal.Delta, bool) {
	for _, p := range m.owners(existing, mark) {
		d, ok, err := m.peers.TakeOver(ctx, p, key, m.self, true)
		if err != nil {
			m.log.WithFields(logrus.Fields{"peer": p.VM, "error": err}).Warn("owner_unreachable")
		}
		if ok {
			m.metrics.TakenOver.Add(fromOwner, 1)
			return d, true
		}
	}
	var best journal.Delta
	found := false
	for _, p := range m.keepers(key, existing, mark) {
		d, ok, err := m.peers.TakeOver(ctx, p, key, m.self, false)
		if err != nil {
			m.log.WithFields(logrus.Fields{"peer": p.VM, "error": err}).Warn("journal_unreachable")
		}
		if ok && (!found || better(d, best)) {
			best, found = d, true
		}
	}
	if found {
		m.metrics.TakenOver.Add(fromJournal, 1)
	}
	return best, found
}

// better prefers finished sessions, then later owners, then longer answers.
func better(a, b journal.Delta) bool {
	if (a.Result != nil) != (b.Result != nil) {
		return a.Result != nil
	}
	if a.Entry.Epoch != b.Entry.Epoch {
		return a.Entry.Epoch > b.Entry.Epoch
	}
	return len(a.IDs) > len(b.IDs)
}

// owners returns the nodes that may own the session.
func (m *Manager) owners(existing []journal.Entry, mark *cursor.Cursor) []membership.Peer {
	var names []vaneyoke.VMID
	for _, e := range existing {
		names = append(names, e.Owner.VM)
	}
	if mark != nil {
		names = append(names, mark.Owner)
	}
	return m.peersOf(names)
}

// keepers returns the nodes that may hold the session's journal.
func (m *Manager) keepers(key journal.Key, existing []journal.Entry, mark *cursor.Cursor) []membership.Peer {
	var names []vaneyoke.VMID
	for _, e := range existing {
		names = append(names, e.Backup)
	}
	if mark != nil && mark.Backup != "" {
		names = append(names, mark.Backup)
	}
	for _, p := range m.fleet.View().DirectoryPeers(homeKey(key)) {
		names = append(names, p.VM)
	}
	return m.peersOf(names)
}

// peersOf returns the known nodes among names, each once.
func (m *Manager) peersOf(names []vaneyoke.VMID) []membership.Peer {
	seen := map[vaneyoke.VMID]bool{}
	var peers []membership.Peer
	for _, vm := range names {
		p, ok := m.fleet.View().Find(vm)
		if ok && !seen[vm] {
			peers = append(peers, p)
		}
		seen[vm] = true
	}
	return peers
}

// restore goes on with a session that was taken over.
func (m *Manager) restore(ctx context.Context, ask OpenRequest, key journal.Key, d journal.Delta, mark *cursor.Cursor) (*session, error) {
	if mark != nil && !mend(&d, mark) {
		m.metrics.Lost.Add(1)
		return nil, errLost()
	}
	ask.Request.ID = d.Entry.Request
	d.Entry.Owner = m.self
	s := newSession(m, key, d.Entry, m.relay.Restore(ctx, ask.Request, m.saved(d)))
	m.log.WithFields(logrus.Fields{
		"request": d.Entry.Request, "epoch": uint64(d.Entry.Epoch), "tokens": len(d.IDs), "finished": d.Result != nil,
	}).Info("session_taken_over")
	kept := m.add(s)
	if kept != s {
		s.relay.Supersede()
		return kept, nil
	}
	go m.tellHomes(key, s.owned())
	m.kickPush()
	return kept, nil
}

// mend adds the tokens that only the caller's mark holds, and reports whether the answer is what the caller saw.
func mend(d *journal.Delta, mark *cursor.Cursor) bool {
	held := len(d.IDs)
	if int(mark.TailFrom) <= len(d.IDs) && mark.TailTextFrom <= len(d.Text) {
		if skip := len(d.IDs) - int(mark.TailFrom); skip < len(mark.TailIDs) {
			d.IDs = append(d.IDs[:len(d.IDs):len(d.IDs)], mark.TailIDs[skip:]...)
		}
		if skip := len(d.Text) - mark.TailTextFrom; skip < len(mark.TailText) {
			d.Text = append(d.Text[:len(d.Text):len(d.Text)], mark.TailText[skip:]...)
		}
	}
	if added := len(d.IDs) - held; added > 0 && cursor.StreamDigest(streamName(d)) != mark.Stream {
		d.Stream = nil // the tail came from another run, whose tokens the journal's run does not go on from
	}
	return mark.Offset <= len(d.Text) && cursor.TextDigest(d.Text[:mark.Offset]) == mark.Digest
}

// streamName returns the name of a session's run on an engine, "" where it has none.
func streamName(d *journal.Delta) string {
	if d.Stream == nil {
		return ""
	}
	return d.Stream.Name
}

// saved returns a journal's session as the relay goes on with it.
func (m *Manager) saved(d journal.Delta) relay.Saved {
	saved := relay.Saved{
		Epoch:    uint64(d.Entry.Epoch),
		Restored: generation.Restored{Prompt: d.Prompt, IDs: d.IDs, Text: d.Text},
	}
	if s := d.Stream; s != nil {
		saved.Restored.Upstream, saved.StreamName, saved.StreamBase = s.Upstream, s.Name, s.Base
		if upstream, ok := m.fleet.Upstream(s.Upstream); ok {
			saved.Upstream = upstream
		}
	}
	if r := d.Result; r != nil {
		usage := vaneyoke.Usage{Prompt: vaneyoke.Tokens(len(d.Prompt)), Completion: vaneyoke.Tokens(len(d.IDs))}
		saved.Result = &relay.Result{Ended: true, Code: r.Code, Detail: r.Detail, Reason: r.Reason, Usage: usage}
		saved.Answer = engine.Answer{Status: r.Status, MediaType: r.MediaType, Body: r.Body}
	}
	return saved
}
