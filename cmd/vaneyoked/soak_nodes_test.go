package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soakNode is a node: one process at a time, at an address that stays.
type soakNode struct {
	name, listen, readiness, settings, log string

	replace     []string // replacements in the deployed settings
	descriptors int      // limit of its processes that run a build; 0 for that of the test

	process *process // used only by the goroutine that disrupts the node

	mu          sync.Mutex
	incarnation incarnation // as callers see it
	stops       []span      // from SIGTERM to the end of the process
	disrupted   []span      // by SIGKILL or SIGSTOP
	busy        bool
}

// process is one process of a node.
type process struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	endedAt time.Time // endedAt and err are set before ended is closed
	err     error
}

// incarnation identifies one process of a node.
type incarnation struct {
	number int    // of the node's processes so far
	build  *build // whose executable runs; nil for the one under test
}

// span is an interval of time.
type span struct{ from, to time.Time }

func (s span) overlaps(other span) bool { return !s.from.After(other.to) && !other.from.After(s.to) }

// freeLoopbackAddress returns a random address in 127.0.0.0/8. Outgoing connections do not use it as their source, so that the port
// stays free between two processes of a node.
func freeLoopbackAddress() (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// addNode adds a node and writes its settings: the deployed ones with the given replacements. It does not start the node.
func (s *soak) addNode(replace ...string) (*soakNode, error) {
	s.mu.Lock()
	s.lastNodeNumber++
	n := &soakNode{name: fmt.Sprintf("edge-%d", s.lastNodeNumber)}
	zone := []string{"a", "b"}[s.lastNodeNumber%2]
	s.mu.Unlock()
	n.settings, n.log = filepath.Join(s.logs, n.name+".ini"), filepath.Join(s.logs, n.name+".log")
	_ = os.Remove(n.log) // left by an earlier run
	var errs [3]error
	n.listen, errs[0] = freeLoopbackAddress()
	n.readiness, errs[1] = freeLoopbackAddress()
	peers, err := freeLoopbackAddress()
	errs[2] = err
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	n.replace = append(slices.Clone(replace), "peers = 127.0.0.1:0\n", "peers = "+peers+"\n", "vm = edge-1\n", "vm = "+n.name+"\n", "data_centre = a\n", "data_centre = "+zone+"\n")
	if err := s.setBuild(n, nil); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	s.t.Cleanup(func() {
		if n.process != nil {
			n.kill()
		}
	})
	return n, nil
}

// setBuild makes a node run the executable of a build from its next start on, with the settings that were deployed with that build.
func (s *soak) setBuild(n *soakNode, b *build) error {
	template := "../../deploy/node.ini"
	if b != nil {
		template = b.template
	}
	n.mu.Lock()
	n.incarnation.build = b
	n.mu.Unlock()
	text := renderSettings(s.t, template, s.store.Address(), n.listen, n.readiness, "127.0.0.1:0")
	return os.WriteFile(n.settings, []byte(strings.NewReplacer(n.replace...).Replace(text)), 0o600)
}

// removeNode stops sending callers to a node.
func (s *soak) removeNode(n *soakNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.DeleteFunc(slices.Clone(s.nodes), func(other *soakNode) bool { return other == n })
}

func (s *soak) allNodes() []*soakNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes)
}

func (s *soak) randomNode(rng *rand.Rand) *soakNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[rng.IntN(len(s.nodes))]
}

func (n *soakNode) readyURL() string { return "http://" + n.readiness + "/readyz" }

// start starts a process that writes to the node's log.
func (n *soakNode) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := &process{cmd: exec.Command(os.Args[0]), ended: make(chan struct{})}
	if b := n.currentIncarnation().build; b != nil {
		p.cmd = exec.Command(b.program, "--config", n.settings)
		if n.descriptors > 0 {
			p.cmd = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(n.descriptors), b.program, "--config", n.settings)
		}
	}
	// By default the race detector delays the exit of a process.
	p.cmd.Env = append(os.Environ(), nodeSettingsVar+"="+n.settings, "GORACE=atexit_sleep_ms=0")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.cmd.Wait()
		p.endedAt = time.Now()
		close(p.ended)
	}()
	n.process = p
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation.number++
	return nil
}

// currentIncarnation returns the node's incarnation.
func (n *soakNode) currentIncarnation() incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

func (n *soakNode) signal(sig syscall.Signal) { _ = n.process.cmd.Process.Signal(sig) }

func (n *soakNode) kill() {
	n.signal(syscall.SIGKILL)
	<-n.process.ended
}

// addSpan adds a span to one of the node's lists.
func (n *soakNode) addSpan(list *[]span, from, to time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*list = append(*list, span{from, to})
}

// stopDuring returns the node's last stop that overlaps an interval, if any.
func (n *soakNode) stopDuring(during span) (last span, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, stop := range n.stops {
		if during.overlaps(stop) {
			last, ok = stop, true
		}
	}
	return last, ok
}

func (n *soakNode) disruptedDuring(during span) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.disrupted, during.overlaps)
}

// logTail returns the last lines of the node's log that contain text.
func (n *soakNode) logTail(text string, lines int) string {
	log, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	var found []string
	for line := range bytes.Lines(log) {
		if bytes.Contains(line, []byte(text)) {
			found = append(found, string(line))
		}
	}
	return strings.Join(found[max(0, len(found)-lines):], "")
}
