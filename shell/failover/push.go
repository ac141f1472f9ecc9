package failover

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
)

// triggerPush requests a push before the push period ends.
func (m *Manager) triggerPush() {
	select {
	case m.pushNow <- struct{}{}:
	default:
	}
}

// Run pushes journals to their backups and removes expired sessions until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.config.PushPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.sweep(time.Now())
		case <-m.pushNow:
		}
		m.pushAll(ctx)
	}
}

// batch holds the deltas that are pushed to one backup in one call.
type batch struct {
	to       membership.Peer
	sessions []*session
	deltas   []journal.Delta
}

// pushAll starts one push to each backup with the deltas that it lacks, and returns without waiting for the responses.
func (m *Manager) pushAll(ctx context.Context) {
	batches := map[string]*batch{}
	for _, s := range m.all() {
		d, to, ok := s.nextDelta()
		if !ok {
			continue
		}
		b := batches[to.Address]
		if b == nil {
			b = &batch{to: to}
			batches[to.Address] = b
		}
		b.sessions = append(b.sessions, s)
		b.deltas = append(b.deltas, d)
	}
	for _, b := range batches {
		go m.push(ctx, b)
	}
}

func (m *Manager) all() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*session, 0, len(m.sessions))
	for _, s := range m.sessions {
		list = append(list, s)
	}
	return list
}

func (m *Manager) push(ctx context.Context, b *batch) {
	m.metrics.Pushes.Add(1)
	states, err := m.peers.Push(ctx, b.to, b.deltas)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.log.WithFields(logrus.Fields{"peer": b.to.VM, "sessions": len(b.sessions), "error": err}).Warn("push_failed")
		for _, s := range b.sessions {
			s.recordPushFailure(b.to.VM)
		}
		return
	}
	for i, s := range b.sessions {
		m.metrics.PushBytes.Add(int64(len(b.deltas[i].Text) + idWireBytes*len(b.deltas[i].IDs)))
		s.recordPush(b.deltas[i], b.to.VM, states[i])
		if states[i] == journal.PushSuperseded {
			m.supersede(s)
		}
	}
}

// idWireBytes is the approximate encoded size of a token ID in a push.
const idWireBytes = 4

// supersede ends a session that another node has taken over. A complete answer is kept, without a backup: it is the same at both nodes.
func (m *Manager) supersede(s *session) {
	if s.keepComplete() {
		return
	}
	m.remove(s)
	m.metrics.Superseded.Add(1)
	m.log.WithField("request", s.entry.Request).Warn("session_superseded")
	s.relay.Supersede()
}

// sweep abandons sessions whose callers have been away longer than Linger, and removes finished sessions after Retention.
func (m *Manager) sweep(now time.Time) {
	m.dropGivenUp(now)
	for _, s := range m.all() {
		idle := s.idleFor(now)
		switch {
		case s.relay.Running() && idle > m.config.Linger:
			s.relay.Abandon()
		case !s.relay.Running() && idle > m.config.Retention:
			m.remove(s)
		}
	}
}

// Running returns the number of resumable sessions of this node that are still running.
func (m *Manager) Running() int {
	running := 0
	for _, s := range m.all() {
		if s.relay.Running() {
			running++
		}
	}
	return running
}

// Flush waits until the backups hold all finished answers, for at most AckTimeout or until ctx ends.
func (m *Manager) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.config.AckTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, s := range m.all() {
		if !s.relay.Running() {
			wait.Go(func() { s.waitUntil(ctx, s.isReplicated) })
		}
	}
	wait.Wait()
}

// Release ends all sessions on this node, so that other nodes can resume them from the state that the backups hold. It returns the number
// of sessions that were running.
func (m *Manager) Release() (running int) {
	m.mu.Lock()
	if !m.isReleased() {
		close(m.released)
	}
	m.mu.Unlock()
	for _, s := range m.all() {
		m.remove(s)
		if s.relay.Running() {
			running++
			s.relay.Detach()
		}
	}
	return running
}

func (m *Manager) isReleased() bool {
	select {
	case <-m.released:
		return true
	default:
		return false
	}
}
