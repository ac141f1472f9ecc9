package failover

import (
	"context"
	"encoding/hex"
	"slices"
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

// directoryTimeout limits an update of the session directory.
const directoryTimeout = 2 * time.Second

// Keys of Metrics.TakenOver.
const (
	fromOwner   = "owner"
	fromJournal = "journal"
)

// openFleetWide reserves the key at its directory peers, and starts a new session or takes over the existing one.
func (m *Manager) openFleetWide(ctx context.Context, req OpenRequest, key journal.Key, digest string, cur *cursor.Cursor) (*session, error) {
	entry := journal.Entry{Request: req.Request.ID, Owner: m.self, Epoch: 1, BodyDigest: digest}
	if backup, ok := m.backup(nil); ok {
		entry.Backup = backup.VM
	}
	if cur != nil {
		entry.Request, entry.Epoch = cur.Request, 0 // epoch 0 queries the owner without reserving the key
	}
	existing, err := m.reserve(ctx, key, entry)
	if err != nil {
		return nil, err
	}
	if len(existing) == 0 && cur == nil {
		return m.startNew(ctx, req, key, entry)
	}
	for _, e := range existing {
		if e.BodyDigest != digest {
			return nil, vaneyoke.ErrField(vaneyoke.CodeConflict, "header.Idempotency-Key", "was used for another request")
		}
	}
	mustFind := cur != nil || !req.Request.Repeatable
	d, found, err := m.awaitSession(ctx, key, existing, cur, mustFind)
	if err != nil {
		return nil, err
	}
	if s := m.find(key); s != nil { // another connection of the caller was first
		return s, nil
	}
	if !found {
		return m.restart(ctx, req, key, existing, cur, entry)
	}
	if d.Entry.BodyDigest != digest {
		return nil, vaneyoke.ErrField(vaneyoke.CodeConflict, "header.Idempotency-Key", "was used for another request")
	}
	return m.restore(ctx, req, key, d, cur)
}

// reserve opens the key at each of its directory peers in turn, and returns the entries that already existed.
func (m *Manager) reserve(ctx context.Context, key journal.Key, entry journal.Entry) ([]journal.Entry, error) {
	var existing []journal.Entry
	for _, p := range m.fleet.View().DirectoryPeers(directoryKey(key)) {
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

// startNew starts a request whose key is new. A request that must run at most once is also claimed in the store.
func (m *Manager) startNew(ctx context.Context, req OpenRequest, key journal.Key, entry journal.Entry) (*session, error) {
	if !req.Request.Repeatable {
		err := m.claims.Acquire(ctx, claims.Request{
			Workspace: key.Workspace, Key: key.Key, ID: entry.Request, BodyDigest: hex.EncodeToString([]byte(entry.BodyDigest)),
		})
		if err != nil {
			return nil, err
		}
	}
	return m.start(ctx, req, key, entry), nil
}

// updateDirectory sends the changed owner or backup of a session to its directory peers.
func (m *Manager) updateDirectory(key journal.Key, entry journal.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	if _, err := m.reserve(ctx, key, entry); err != nil {
		m.log.WithFields(logrus.Fields{"request": entry.Request, "error": err}).Warn("homes_not_told")
	}
}

func (m *Manager) start(ctx context.Context, req OpenRequest, key journal.Key, entry journal.Entry) *session {
	s := newSession(m, key, entry, m.relay.GenerateInEpoch(ctx, req.Request, uint64(entry.Epoch)))
	kept := m.add(s)
	if kept != s {
		s.relay.Abandon()
	}
	return kept
}

// restart runs a request again whose earlier session no node holds. It refuses if the caller holds a part of the answer, or if the request must
// run at most once.
func (m *Manager) restart(ctx context.Context, req OpenRequest, key journal.Key, existing []journal.Entry, cur *cursor.Cursor, entry journal.Entry) (*session, error) {
	if cur != nil {
		m.metrics.Lost.Add(1)
		return nil, errLost()
	}
	if !req.Request.Repeatable {
		return nil, vaneyoke.Err(vaneyoke.CodeMayHaveRun, "the request was begun at %s, which cannot be asked", existing[0].Owner.VM)
	}
	for _, e := range existing {
		entry.Request = e.Request
		entry.Epoch = max(entry.Epoch, e.Epoch+1)
	}
	if _, err := m.reserve(ctx, key, entry); err != nil {
		return nil, err
	}
	req.Request.ID = entry.Request
	return m.start(ctx, req, key, entry), nil
}

// ownerPollInterval is the time between two requests for a session that goes on at its owner.
const ownerPollInterval = 100 * time.Millisecond

// silencePatience is how long nodes that do not answer are asked again for a session without which its request is refused. It covers a pause of a node, and the
// time for which the peer client asks a silent one nothing.
const silencePatience = 2 * time.Second

// awaitSession takes the session over. While no other node can go on with its run, it waits for the owner. A session that must be found is not given up before
// each node that may hold it has answered or been silent for a while.
func (m *Manager) awaitSession(ctx context.Context, key journal.Key, existing []journal.Entry, cur *cursor.Cursor, mustFind bool) (journal.Delta, bool, error) {
	heardAt := time.Now()
	for {
		d, found, answered := m.takeOver(ctx, key, existing, cur)
		switch {
		case found && d.Result == nil && d.Entry.Owner != m.self: // its owner goes on with it
			heardAt, mustFind = time.Now(), true
		case found, answered, !mustFind, time.Since(heardAt) >= silencePatience:
			return d, found, nil
		}
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return d, false, vaneyoke.WrapErr(vaneyoke.CodeCallerGone, ctx.Err(), "caller is gone")
		case <-m.released:
			return d, false, vaneyoke.Err(vaneyoke.CodeMayHaveRun, "the node ended, the request runs at another one")
		}
	}
}

// takeOver requests the session from its owner, and from the journals if no owner returns it. answered reports whether it was found, or all nodes that may hold it
// have answered.
func (m *Manager) takeOver(ctx context.Context, key journal.Key, existing []journal.Entry, cur *cursor.Cursor) (d journal.Delta, found, answered bool) {
	answered = true
	for _, p := range m.ownerCandidates(existing, cur) {
		d, ok, err := m.peers.TakeOver(ctx, p, key, m.self, true)
		if err != nil {
			m.log.WithFields(logrus.Fields{"peer": p.VM, "error": err}).Warn("owner_unreachable")
			answered = false
		}
		if ok {
			if d.Result != nil || d.Entry.Owner == m.self {
				m.metrics.TakenOver.Add(fromOwner, 1)
			}
			return d, true, true
		}
	}
	var best journal.Delta
	for _, p := range m.journalCandidates(key, existing, cur) {
		d, ok, err := m.peers.TakeOver(ctx, p, key, m.self, false)
		if err != nil {
			m.log.WithFields(logrus.Fields{"peer": p.VM, "error": err}).Warn("journal_unreachable")
			answered = false
		}
		if ok && (!found || better(d, best)) {
			best, found = d, true
		}
	}
	if found {
		m.metrics.TakenOver.Add(fromJournal, 1)
	}
	return best, found, answered || found
}

// better reports whether a is preferred to b: finished sessions first, then higher epochs, then longer answers.
func better(a, b journal.Delta) bool {
	if (a.Result != nil) != (b.Result != nil) {
		return a.Result != nil
	}
	if a.Entry.Epoch != b.Entry.Epoch {
		return a.Entry.Epoch > b.Entry.Epoch
	}
	return len(a.IDs) > len(b.IDs)
}

// ownerCandidates returns the known nodes that may own the session.
func (m *Manager) ownerCandidates(existing []journal.Entry, cur *cursor.Cursor) []membership.Peer {
	var vms []vaneyoke.VMID
	for _, e := range existing {
		vms = append(vms, e.Owner.VM)
	}
	if cur != nil {
		vms = append(vms, cur.Owner)
	}
	return m.peersOf(vms)
}

// journalCandidates returns the known nodes that may hold the session's journal.
func (m *Manager) journalCandidates(key journal.Key, existing []journal.Entry, cur *cursor.Cursor) []membership.Peer {
	var vms []vaneyoke.VMID
	for _, e := range existing {
		vms = append(vms, e.Backup)
	}
	if cur != nil && cur.Backup != "" {
		vms = append(vms, cur.Backup)
	}
	for _, p := range m.fleet.View().DirectoryPeers(directoryKey(key)) {
		vms = append(vms, p.VM)
	}
	return m.peersOf(vms)
}

// peersOf returns the known nodes among vms without duplicates.
func (m *Manager) peersOf(vms []vaneyoke.VMID) []membership.Peer {
	seen := map[vaneyoke.VMID]bool{}
	var peers []membership.Peer
	for _, vm := range vms {
		p, ok := m.fleet.View().Find(vm)
		if ok && !seen[vm] {
			peers = append(peers, p)
		}
		seen[vm] = true
	}
	return peers
}

// restore continues a session that was taken over.
func (m *Manager) restore(ctx context.Context, req OpenRequest, key journal.Key, d journal.Delta, cur *cursor.Cursor) (*session, error) {
	if cur != nil && !applyCursorTail(&d, cur) {
		m.metrics.Lost.Add(1)
		return nil, errLost()
	}
	req.Request.ID = d.Entry.Request
	d.Entry.Owner = m.self
	s := newSession(m, key, d.Entry, m.relay.Restore(ctx, req.Request, m.savedFrom(d)))
	m.log.WithFields(logrus.Fields{
		"request": d.Entry.Request, "epoch": uint64(d.Entry.Epoch), "tokens": len(d.IDs), "finished": d.Result != nil,
	}).Info("session_taken_over")
	kept := m.add(s)
	if kept != s {
		s.relay.Supersede()
		return kept, nil
	}
	go m.updateDirectory(key, s.currentEntry())
	m.triggerPush()
	return kept, nil
}

// applyCursorTail appends the tokens that only the caller's cursor holds, and reports whether the resulting text matches the text that the
// caller holds.
func applyCursorTail(d *journal.Delta, cur *cursor.Cursor) bool {
	held := len(d.IDs)
	if !overlapAgrees(d.IDs, int(cur.TailFrom), cur.TailIDs) {
		return false // two runs may split one text into other tokens
	}
	if int(cur.TailFrom) <= len(d.IDs) && cur.TailTextFrom <= len(d.Text) {
		if skip := len(d.IDs) - int(cur.TailFrom); skip < len(cur.TailIDs) {
			d.IDs = append(d.IDs[:len(d.IDs):len(d.IDs)], cur.TailIDs[skip:]...)
		}
		if skip := len(d.Text) - cur.TailTextFrom; skip < len(cur.TailText) {
			d.Text = append(d.Text[:len(d.Text):len(d.Text)], cur.TailText[skip:]...)
		}
	}
	if added := len(d.IDs) - held; added > 0 && cursor.StreamDigest(streamName(d)) != cur.Stream {
		d.Stream = pinOnly(d.Stream) // the tail is from another run, so the journal's run does not continue it
	}
	return cur.Offset <= len(d.Text) && cursor.TextDigest(d.Text[:cur.Offset]) == cur.Digest
}

// overlapAgrees reports whether ids and a tail that follows the first from of them have the same ids where both have some.
func overlapAgrees(ids []vaneyoke.TokenID, from int, tail []vaneyoke.TokenID) bool {
	if from >= len(ids) {
		return true
	}
	n := min(len(ids)-from, len(tail))
	return slices.Equal(ids[from:from+n], tail[:n])
}

// pinOnly returns a stream without its run, which keeps the software version that began the answer; nil if that is not known.
func pinOnly(s *journal.Stream) *journal.Stream {
	if s == nil || !s.Pin.IsSet {
		return nil
	}
	return &journal.Stream{Pin: s.Pin}
}

// streamName returns the name of the session's run on an engine, or "" if there is none.
func streamName(d *journal.Delta) string {
	if d.Stream == nil {
		return ""
	}
	return d.Stream.Name
}

// savedFrom converts the session of a journal to the state from which the relay continues it.
func (m *Manager) savedFrom(d journal.Delta) relay.Saved {
	saved := relay.Saved{
		Epoch:    uint64(d.Entry.Epoch),
		Restored: generation.Restored{Prompt: d.Prompt, IDs: d.IDs, Text: d.Text},
	}
	if s := d.Stream; s != nil {
		saved.Restored.Upstream, saved.StreamName, saved.StreamBase, saved.Pin = s.Upstream, s.Name, s.Base, s.Pin
		if upstream, ok := m.fleet.Upstream(s.Upstream); ok {
			saved.Upstream = upstream
			if !saved.Pin.IsSet && len(d.IDs) > 0 { // the journal is of a build that does not keep it
				saved.Pin = vaneyoke.PinTo(&upstream)
			}
		}
	}
	if r := d.Result; r != nil {
		usage := vaneyoke.Usage{Prompt: vaneyoke.Tokens(len(d.Prompt)), Completion: vaneyoke.Tokens(len(d.IDs))}
		saved.Result = &relay.Result{Ended: true, Code: r.Code, Detail: r.Detail, Reason: r.Reason, Usage: usage}
		saved.Answer = engine.Answer{Status: r.Status, MediaType: r.MediaType, Body: r.Body}
	}
	return saved
}
