package failover

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
)

// kickPush asks for a push before the period is over.
func (m *Manager) kickPush() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Run pushes journals to their backups, and forgets sessions that are over, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.config.PushPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.sweep(time.Now())
		case <-m.kick:
		}
		m.pushAll(ctx)
	}
}

// batch is what goes to one backup at once.
type batch struct {
	to       membership.Peer
	sessions []*session
	deltas   []journal.Delta
}

// pushAll sends to each backup what it does not hold yet; it does not wait for the answers.
func (m *Manager) pushAll(ctx context.Context) {
	batches := map[string]*batch{}
	for _, s := range m.all() {
		d, to, ok := s.pending()
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
			s.pushFailed(b.to.VM)
		}
		return
	}
	for i, s := range b.sessions {
		m.metrics.PushBytes.Add(int64(len(b.deltas[i].Text) + idWireBytes*len(b.deltas[i].IDs)))
		s.pushed(b.deltas[i], b.to.VM, states[i])
		if states[i] == journal.PushSuperseded {
			m.supersede(s)
		}
	}
}

// idWireBytes is about what a token id takes in a push.
const idWireBytes = 4

// supersede ends a session that another node goes on with.
func (m *Manager) supersede(s *session) {
	m.forget(s)
	m.metrics.Superseded.Add(1)
	m.log.WithField("request", s.entry.Request).Warn("session_superseded")
	s.relay.Supersede()
}

// sweep ends sessions whose callers stay away, and forgets finished ones.
func (m *Manager) sweep(now time.Time) {
	for _, s := range m.all() {
		idle := s.idleFor(now)
		switch {
		case s.relay.Running() && idle > m.config.Linger:
			s.relay.Abandon()
		case !s.relay.Running() && idle > m.config.Retention:
			m.forget(s)
		}
	}
}

// Running returns how many of the node's sessions have callers that may come back.
func (m *Manager) Running() int {
	running := 0
	for _, s := range m.all() {
		if s.relay.Running() {
			running++
		}
	}
	return running
}

// Flush waits until the backups hold the finished answers, or ctx ends.
func (m *Manager) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.config.AckTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, s := range m.all() {
		if !s.relay.Running() {
			wait.Go(func() { s.waitUntil(ctx, s.sealed) })
		}
	}
	wait.Wait()
}

// Release ends all sessions here, so that what the backups hold of them stands, and other nodes go on from there. It returns
// how many were running.
func (m *Manager) Release() (running int) {
	for _, s := range m.all() {
		m.forget(s)
		if s.relay.Running() {
			running++
			s.relay.Detach()
		}
	}
	return running
}
