package main

import (
	"net/http"
	"syscall"
	"time"

	"github.com/shoenig/test/must"
)

// shortLameDuck shortens the lame duck time of a stopping node, for which it reports not ready but still serves.
var shortLameDuck = []string{"[gateway]\n", "[gateway]\nlame = 50ms\n"}

// killAndRestart kills a node's process with SIGKILL and starts it again.
func (s *soak) killAndRestart(n *soakNode) {
	n.kill()
	must.NoError(s.t, n.start())
}

// stopAndRestart stops a node's process gracefully and starts it again.
func (s *soak) stopAndRestart(n *soakNode) {
	n.signal(syscall.SIGTERM)
	<-n.process.ended
	must.NoError(s.t, n.start())
}

// freeze suspends a node's process for d.
func (n *soakNode) freeze(d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// killAndRestartAll kills all processes, and then starts all of them again.
func (s *soak) killAndRestartAll() {
	for _, n := range s.allNodes() {
		n.kill()
	}
	for _, n := range s.allNodes() {
		must.NoError(s.t, n.start())
	}
}

// withoutStore makes the store refuse all calls for d, and then until meanwhile returns.
func (s *soak) withoutStore(d time.Duration, meanwhile func()) {
	s.store.Refuse(http.StatusServiceUnavailable)
	s.storeAway.Store(true)
	time.Sleep(d)
	meanwhile()
	s.storeAway.Store(false)
	s.store.Refuse(0)
}

// addReadyNode adds a new node and waits until it is ready.
func (s *soak) addReadyNode() {
	added, err := s.addNode(shortLameDuck...)
	must.NoError(s.t, err)
	must.NoError(s.t, added.start())
	must.True(s.t, becomesReady(added))
}
