//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceS is how many seconds a machine has after SIGTERM, on all sheets.
const graceS = 8

// sheet holds the bounds of a deployment's sheet, which the settings of the nodes state.
type sheet struct{ drain, config, contact time.Duration }

var (
	// smallSheet is that of onma-souk and trentfold-sort.
	smallSheet = sheet{drain: 2 * time.Second, config: 2 * time.Second, contact: 3 * time.Second}
	// fleetSheet is that of onma-souk-fleet.
	fleetSheet = sheet{drain: 5 * time.Second, config: 5 * time.Second, contact: 6 * time.Second}

	bounds = smallSheet
)

// node is one real node, which runs as a process.
type node struct {
	name, zone       string
	dir              string
	store            string // address at which it meets the store
	extra            string // further sections of its settings
	listen, ready    string
	peers, admin     string
	program          string
	mu               sync.Mutex
	cmd              *exec.Cmd
	ended            chan struct{}
	startedAt, endAt time.Time
	resting          bool // whether the balancer sends it no callers
}

// given holds the ports that freeAddress has returned.
var given = map[int]bool{}

// freeAddress returns a loopback address with a port that is free, below those that the system gives to outgoing connections.
func freeAddress() string {
	const lowest, highest, tries = 15000, 32000, 1000
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil || given[port] {
			continue
		}
		_ = l.Close()
		given[port] = true
		return address
	}
	cannotRun("no free port")
	return ""
}

func newNode(name, zone, store, dir, extra string) *node {
	return &node{
		name: name, zone: zone, store: store, dir: dir, extra: extra, program: "target/vaneyoked",
		listen: freeAddress(), ready: freeAddress(), peers: freeAddress(), admin: freeAddress(),
	}
}

// settings returns the node's settings file: deploy/node.ini, filled from a sheet.
func (n *node) settings(first bool) string {
	return fmt.Sprintf(`[node]
vm = %s
data_centre = %s
bandwidth = 1000
admin = %s
grace = %ds

[gateway]
listen = %s
readiness = %s
store = %s
peers = %s
first_start = %t
drain_within = %dms
in_force_within = %dms
back_within = %dms

[retry]
fleet_ratio = 0.8
fleet_burst = 150
fleet_window = 10s
per_second = 0
failures = 3
open_for = 500ms
open_max = 2s

[limits]
memory = 284
%s
[log]
level = info
plain_every = 10
`, n.name, n.zone, n.admin, graceS, n.listen, n.ready, n.store, n.peers, first, bounds.drain.Milliseconds(), bounds.config.Milliseconds(), bounds.contact.Milliseconds(), n.extra)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start(first bool) {
	path := filepath.Join(n.dir, n.name+".ini")
	if err := os.WriteFile(path, []byte(n.settings(first)), 0o600); err != nil {
		cannotRun("%s", err)
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%s", err)
	}
	cmd := exec.Command(n.program, "--config", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		cannotRun("start of %s: %s", n.name, err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.startedAt = cmd, ended, time.Now()
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		n.endAt = time.Now()
		n.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// wait waits until the node's process has ended.
func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the node's process.
func (n *node) kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.wait(5 * time.Second)
}

// isReady reports whether the node answers its readiness probe with 200.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", nil)
	res, err := probeClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// vars returns the node's metrics.
func (n *node) vars() map[string]json.RawMessage {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/debug/vars", nil)
	res, err := probeClient.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	all := map[string]json.RawMessage{}
	data, _ := io.ReadAll(res.Body)
	if json.Unmarshal(data, &all) != nil {
		return nil
	}
	return all
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes []*node, within time.Duration) {
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		waiting := []string{}
		for _, n := range nodes {
			if !n.isReady() {
				waiting = append(waiting, n.name)
			}
		}
		if len(waiting) == 0 {
			return
		}
		if time.Now().After(end) {
			cannotRun("not ready: %s", strings.Join(waiting, ", "))
		}
	}
}

// started holds all nodes, so that each way out of the program ends their processes.
var started struct {
	sync.Mutex
	nodes []*node
}

func track(nodes ...*node) {
	started.Lock()
	defer started.Unlock()
	started.nodes = append(started.nodes, nodes...)
}

func killAll() {
	started.Lock()
	defer started.Unlock()
	var all sync.WaitGroup
	for _, n := range started.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			n.kill()
		}()
	}
	all.Wait()
}

// cannotRun ends the program with the status of a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	record.printf("the case could not run: "+format, args...)
	record.close()
	killAll()
	os.Exit(2)
}
