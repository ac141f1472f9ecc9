package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	crowdMemory      = 96 // megabytes that the settings of a node name
	crowdDescriptors = 300
	crowdTime        = 5 * time.Second         // for which a crowd stays, beside the requests of the test
	crowdRetry       = time.Second             // until a caller whose connection was closed opens another one
	crowdPoll        = 20 * time.Millisecond   // between two looks at the node's memory and descriptors
	crowdLead        = 1500 * time.Millisecond // from the first connection of a crowd to the request beside it
	noLimit          = 0                       // of descriptors
	// descriptorShare is the largest share of the descriptors that may be open: the rest is for upstreams, the store and other nodes.
	descriptorShare = 0.75
)

// crowdedNode is a process with little memory whose listeners have callers that do not behave.
type crowdedNode struct {
	t           *testing.T
	node        *soakNode
	descriptors int // limit of the process; noLimit for that of the test
	listeners   map[string]string
	ordinary    func(ctx context.Context) error // sends a request as any caller does, and returns an error unless the answer is whole
}

// crowdBuildFolder holds the program of crowdBuild; it is empty until that has been called.
var crowdBuildFolder string

// crowdBuild builds the node without the race detector, which multiplies the memory of a process.
var crowdBuild = sync.OnceValues(func() (b *build, err error) {
	if crowdBuildFolder, err = os.MkdirTemp("", "crowd"); err != nil {
		return nil, err
	}
	b = &build{program: filepath.Join(crowdBuildFolder, "vaneyoked"), template: "../../deploy/node.ini"}
	if text, err := exec.Command("go", "build", "-o", b.program, ".").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, text)
	}
	return b, nil
})

// removeCrowdBuild deletes the program, if there is one.
func removeCrowdBuild() {
	if crowdBuildFolder != "" {
		_ = os.RemoveAll(crowdBuildFolder)
	}
}

// newCrowdedNode starts a node that serves opaque requests with a number of descriptors, and with replacements in its deployed settings.
func newCrowdedNode(t *testing.T, descriptors int, replace ...string) (*crowdedNode, *soak) {
	s := newSoak(t, 0)
	admin, err := freeLoopbackAddress()
	must.NoError(t, err)
	peers, err := freeLoopbackAddress()
	must.NoError(t, err)
	n, err := s.addNode(append(replace, "memory = 284\n", fmt.Sprintf("memory = %d\n", crowdMemory), "admin = 127.0.0.1:0\n", "admin = "+admin+"\n", "peers = 127.0.0.1:0\n", "peers = "+peers+"\n")...)
	must.NoError(t, err)
	c := &crowdedNode{t: t, node: n, descriptors: descriptors, listeners: map[string]string{"callers": n.listen, "readiness": n.readiness, "admin": admin, "peers": peers}}
	c.ordinary = func(ctx context.Context) error {
		call := platformtest.Call{Path: "/look/x", Host: soakHost, Key: soakKey, ID: fmt.Sprintf("ordinary-%d", s.ids.Add(1))}
		req, err := call.Request(ctx, n.listen)
		if err != nil {
			return err
		}
		return roundTripWhole(req, http.StatusOK)
	}
	c.start()
	waitReady(t, n.readyURL())
	return c, s
}

// newCrowdedAPINode starts a node with the caller API, whose platform is away.
func newCrowdedAPINode(t *testing.T) *crowdedNode {
	c := &crowdedNode{t: t, node: &soakNode{name: "api", settings: filepath.Join(t.TempDir(), "node.ini"), log: filepath.Join(t.TempDir(), "node.log")}, listeners: map[string]string{}}
	for _, name := range []string{"callers", "admin", "peers"} {
		address, err := freeLoopbackAddress()
		must.NoError(t, err)
		c.listeners[name] = address
	}
	text := strings.NewReplacer(
		"listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n", fmt.Sprintf("listen = %s\nadmin = %s\n", c.listeners["callers"], c.listeners["admin"]),
		"[peers]\nlisten = 127.0.0.1:0\n", fmt.Sprintf("[peers]\nlisten = %s\n", c.listeners["peers"]),
	).Replace(validSettings) + fmt.Sprintf("[limits]\nmemory = %d\n", crowdMemory)
	must.NoError(t, os.WriteFile(c.node.settings, []byte(text), 0o600))
	c.ordinary = func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.listeners["callers"]+"/none", http.NoBody)
		if err != nil {
			return err
		}
		return roundTripWhole(req, http.StatusNotFound)
	}
	t.Cleanup(func() {
		if c.node.process != nil {
			c.node.kill()
		}
	})
	c.start()
	for start := time.Now(); c.ordinary(t.Context()) != nil; time.Sleep(5 * time.Millisecond) {
		must.Less(t, maxWait, time.Since(start), must.Sprint(c.node.logTail("", 5)))
	}
	return c
}

// start starts the node's process with its limit of descriptors.
func (c *crowdedNode) start() {
	b, err := crowdBuild()
	must.NoError(c.t, err)
	c.node.mu.Lock()
	c.node.incarnation.build = b
	c.node.mu.Unlock()
	c.node.descriptors = c.descriptors
	must.NoError(c.t, c.node.start())
}

// roundTripWhole sends a request on a connection of its own, and returns an error unless it gets a whole answer with the status.
func roundTripWhole(req *http.Request, status int) error {
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != status {
		err = fmt.Errorf("status %d, want %d: %s", res.StatusCode, status, body)
	}
	return err
}

// crowd is a number of callers that do the same, each on one connection at a time, and open another one when it was closed.
type crowd struct {
	listener string
	size     int
	send     func(conn net.Conn) // returns when the caller has no more use for the connection
}

// run keeps the crowd there until ctx ends.
func (c crowd) run(ctx context.Context, address string) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range c.size {
		callers.Go(func() {
			dialer := net.Dialer{Timeout: crowdRetry}
			for ctx.Err() == nil {
				conn, err := dialer.DialContext(ctx, "tcp", address)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					c.send(conn)
					stop()
					_ = conn.Close()
				}
				sleepContext(ctx, crowdRetry)
			}
		})
	}
	return &callers
}

// usage is what a process takes of its machine.
type usage struct {
	resident, unread int // bytes; unread ones wait in the system, in accepted connections and in others
	descriptors      int
}

// usage returns what the process takes now; ok is false if it has ended.
func (c *crowdedNode) usage() (now usage, ok bool) {
	folder := fmt.Sprintf("/proc/%d/", c.node.process.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return usage{}, false
	}
	fields := strings.Fields(string(status))
	for i, field := range fields {
		if field == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[i+1])
			now.resident, ok = kilobytes<<10, true
		}
	}
	files, err := os.ReadDir(folder + "fd")
	now.descriptors, now.unread = len(files), c.unread()
	return now, ok && err == nil
}

// unread returns the bytes that have arrived at the node's listeners and that it has not read.
func (c *crowdedNode) unread() (total int) {
	table, err := os.ReadFile("/proc/net/tcp")
	must.NoError(c.t, err)
	local := map[string]bool{}
	for _, address := range c.listeners {
		at, err := net.ResolveTCPAddr("tcp4", address)
		must.NoError(c.t, err)
		ip := at.IP.To4()
		local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port)] = true
	}
	const listening = "0A" // state of a socket whose queue counts connections
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += int(n)
	}
	return total
}

// largest is the most that was seen of each figure.
type largest struct {
	memory, unread, descriptors int
}

// watch looks at the node until ctx ends, and returns the most that it has taken.
func (c *crowdedNode) watch(ctx context.Context) (most largest) {
	for ctx.Err() == nil {
		if now, ok := c.usage(); ok {
			most = largest{max(most.memory, now.resident+now.unread), max(most.unread, now.unread), max(most.descriptors, now.descriptors)}
		}
		sleepContext(ctx, crowdPoll)
	}
	return most
}

// endure keeps crowds at the node, and fails unless it lives within its memory and descriptors and answers a request beside them and one after them.
func (c *crowdedNode) endure(crowds ...crowd) {
	c.beside(crowds, func() {})
	must.NoError(c.t, c.request(), must.Sprint("after the crowd"))
}

// beside keeps crowds at the node, sends a request, and calls do while they are there. It fails unless the node keeps to its bounds.
func (c *crowdedNode) beside(crowds []crowd, do func()) {
	must.NoError(c.t, c.request(), must.Sprint("before the crowd"))
	ctx, leave := context.WithCancel(c.t.Context())
	var callers []*sync.WaitGroup
	for _, crowd := range crowds {
		callers = append(callers, crowd.run(ctx, c.listeners[crowd.listener]))
	}
	seen := make(chan largest, 1)
	go func() { seen <- c.watch(ctx) }()
	began := time.Now()
	sleepContext(ctx, crowdLead)
	failed := c.request()
	sleepContext(ctx, time.Until(began.Add(crowdTime)))
	do()
	leave()
	most := <-seen
	for _, crowd := range callers {
		crowd.Wait()
	}
	c.t.Logf("most memory %.1f MB, most unread %.1f MB, most descriptors %d; the request beside the crowd: %v", float64(most.memory)/1e6, float64(most.unread)/1e6, most.descriptors, failed)
	must.NoError(c.t, failed, must.Sprint("beside the crowd"))
	must.LessEq(c.t, crowdMemory*1_000_000, most.memory)
	if c.descriptors > 0 {
		must.LessEq(c.t, int(float64(c.descriptors)*descriptorShare), most.descriptors)
	}
}

// request sends an ordinary request.
func (c *crowdedNode) request() error {
	select {
	case <-c.node.process.ended:
		return fmt.Errorf("the process has ended: %w: %s", c.node.process.err, c.node.logTail("", 5))
	default:
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), maxWait)
	defer cancel()
	return c.ordinary(ctx)
}
