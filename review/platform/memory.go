//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryKB      = 284 * 1024 // memoryMb of the small sites' machines, taken as MiB
	bodyBytes     = 4194304    // maxBodyBytes of the configuration
	usualCallers  = 22         // of each node
	burstTenths   = 17         // ten times x of the sites' burst
	burstTime     = 3 * time.Second
	prefillTime   = time.Second
	longEvents    = 100
	longInterval  = 10 * time.Millisecond
	callerRest    = 300 * time.Millisecond
	memoryRunTime = 13 * time.Second
	restartDelay  = 300 * time.Millisecond
	linkBytesS    = 125_000_000 // linkMbps of a machine
	pieceBytes    = 64 << 10
)

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb
		}
	}
	return 0
}

// supervise does what the platform does: it kills a process that exceeds the machine's memory, and starts it again after a short delay.
func (n *node) supervise(done <-chan struct{}, t *memoryTally) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		n.mu.Lock()
		pid := n.cmd.Process.Pid
		n.mu.Unlock()
		kb := residentKB(pid)
		t.peak.Store(max(t.peak.Load(), int64(kb)))
		if kb <= memoryKB {
			continue
		}
		n.kill()
		t.kills.Add(1)
		n.fleet.record.printf("the platform kills %s: it holds %d kB, its machine has %d kB", n.name, kb, memoryKB)
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			n.fleet.record.printf("%s", err)
			return
		}
	}
}

// arrivals tells which attempts have reached an engine.
type arrivals struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func (a *arrivals) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// link is the incoming link of a machine, which all of its callers share.
type link struct {
	mu      sync.Mutex
	free    time.Time
	longest time.Duration // that a piece has waited
}

// take waits until the link has taken a piece.
func (l *link) take(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	wait := l.free.Sub(now)
	l.longest = max(l.longest, wait)
	l.free = l.free.Add(time.Duration(bytes) * time.Second / linkBytesS)
	l.mu.Unlock()
	time.Sleep(wait)
}

// memoryTally counts what the callers of a node have got. Only what was lost with the node's first process is judged: all the while before, the machine
// was in touch, since nothing had ended there.
type memoryTally struct {
	whole, lost, lostLater, broken, refused, unreached, kills, peak atomic.Int64
	link                                                            link
}

// playMemory has callers send prompts of the largest size that the configuration allows, usually and in bursts.
func playMemory(f *fleet) (int, error) {
	seen := &arrivals{ids: map[string]bool{}}
	runStream := func(w http.ResponseWriter, r *http.Request, body []byte) {
		id := r.Header.Get("X-Attempt-Id")
		seen.add(id)
		select {
		case <-time.After(prefillTime):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := 1; n <= longEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d of %d\n\n", n, id, n, len(body)); err != nil || control.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(longInterval)
		}
	}
	for i := range 4 {
		e, err := newEngine(i+1, "lm", []string{"a", "b"}[i%2], runStream)
		if err != nil {
			return 0, err
		}
		f.list(e)
	}
	f.configure(7, []routeRow{{
		"name": "r-1", "hostname": host, "pathPrefix": "/draft/", "type": "streaming", "timeoutMs": 25000, "goalMs": 4500, "priority": 1, "service": "lm",
		"maxAttempts": 5, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 700,
	}}, "lm")
	if err := f.startNodes(2); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second) // contactMs
	done := make(chan struct{})
	var work, supervision sync.WaitGroup
	tallies := make([]memoryTally, len(f.nodes))
	stop := make(chan struct{})
	for i, n := range f.nodes {
		supervision.Go(func() { n.supervise(stop, &tallies[i]) })
		for c := range usualCallers {
			work.Go(func() {
				time.Sleep(time.Duration(c) * 120 * time.Millisecond)
				f.sendPrompts(n, fmt.Sprintf("%d-%d", i, c), done, seen, &tallies[i])
			})
		}
	}
	for began := time.Now(); time.Since(began) < memoryRunTime; {
		time.Sleep(10 * time.Second)
		f.record.printf("peaks so far: %d kB, %d kB", tallies[0].peak.Load(), tallies[1].peak.Load())
		if !f.trouble {
			continue
		}
		f.record.printf("a burst: %d tenths of the callers for %s", burstTenths, burstTime)
		burst := make(chan struct{})
		burstCallers := usualCallers*burstTenths/10 - usualCallers
		for i, n := range f.nodes {
			for c := range burstCallers {
				work.Go(func() {
					f.sendPrompts(n, fmt.Sprintf("%d-%d-%d", i, c, time.Now().UnixMilli()), burst, seen, &tallies[i])
				})
			}
		}
		time.Sleep(burstTime)
		close(burst)
	}
	close(done)
	work.Wait()
	close(stop)
	supervision.Wait()
	code := exitHeld
	for i, n := range f.nodes {
		t := &tallies[i]
		f.record.printf("%s: peak %d kB, killed %d times for its memory; %d streams whole, %d broken off, %d refused, %d not reached; pieces waited %s at most for the link",
			n.name, t.peak.Load(), t.kills.Load(), t.whole.Load(), t.broken.Load(), t.refused.Load(), t.unreached.Load(), t.link.longest)
		f.record.printf("%s: %d kept connections closed without an answer after an engine had the request, at the end of its first process; %d without an answer that are not judged",
			n.name, t.lost.Load(), t.lostLater.Load())
		if t.lost.Load() > 3 {
			code = exitLost
		}
	}
	if tallies[0].whole.Load() == 0 || tallies[1].whole.Load() == 0 {
		return 0, errors.New("a node served no stream")
	}
	return code, nil
}

// sendPrompts sends one prompt after the other on a kept connection until done is closed.
func (f *fleet) sendPrompts(n *node, name string, done <-chan struct{}, seen *arrivals, t *memoryTally) {
	var c *keptConn
	body := make([]byte, bodyBytes)
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		default:
		}
		if c == nil {
			conn, err := net.DialTimeout("tcp", n.listen, time.Second)
			if err != nil {
				t.unreached.Add(1)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			c = &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
		}
		id := fmt.Sprintf("%016x", hashOf(name, number))
		kills := t.kills.Load()
		outcome, keep := sendPrompt(c, &t.link, id, body)
		switch {
		case outcome == "whole":
			t.whole.Add(1)
			c.answers++
		case outcome == "closed" && seen.has(id) && (kills > 0 || c.answers == 0):
			t.lostLater.Add(1)
		case outcome == "closed" && seen.has(id):
			t.lost.Add(1)
			f.record.printf("caller %s at %s: attempt %s: connection closed without an answer; a sound engine had the request", name, n.name, id)
		case outcome == "closed":
			t.unreached.Add(1)
		case slices.Contains([]string{"503", "429"}, outcome):
			t.refused.Add(1)
		default:
			t.broken.Add(1)
			f.record.printf("caller %s at %s: attempt %s: %s", name, n.name, id, outcome)
		}
		if !keep {
			_ = c.Close()
			c = nil
		}
		time.Sleep(callerRest)
	}
}

func sendPrompt(c *keptConn, l *link, id string, body []byte) (outcome string, keep bool) {
	_ = c.SetDeadline(time.Now().Add(25 * time.Second))
	head := fmt.Sprintf("POST /draft/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 25000\r\nX-Model-Id: m\r\n"+
		"X-Token-Usage: 500,700\r\nX-Prefix-Hash: 5c1e07a2:200,%s:300\r\nContent-Length: %d\r\n\r\n", host, id, key, id, len(body))
	if _, err := io.WriteString(c, head); err != nil {
		return closedOr(err), false
	}
	for rest := body; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		l.take(n)
		if _, err := c.Write(rest[:n]); err != nil {
			return closedOr(err), false
		}
		rest = rest[n:]
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return closedOr(err), false
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	switch {
	case res.StatusCode != http.StatusOK:
		return strconv.Itoa(res.StatusCode), err == nil && !res.Close
	case err != nil:
		return fmt.Sprintf("broken off after %d bytes: %s", len(got), err), false
	case strings.Count(string(got), "\n\n") != longEvents:
		return fmt.Sprintf("%d events", strings.Count(string(got), "\n\n")), false
	default:
		return "whole", !res.Close
	}
}

// closedOr tells an end of the connection by the node from other errors.
func closedOr(err error) string {
	if isClose(err) {
		return "closed"
	}
	return err.Error()
}
