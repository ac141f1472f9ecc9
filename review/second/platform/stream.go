//go:build review

package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamEngine is a sound model engine: it answers a prompt with a stream of numbered events, each of which names the engine and its software version.
type streamEngine struct {
	id, service, zone, version string
	events                     int
	pace                       time.Duration
	server                     *http.Server
	address                    string
	born                       int64

	mu   sync.Mutex
	runs map[string]int // events made, by attempt
}

func newStreamEngine(id, service, zone, version string, events int, pace time.Duration) *streamEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%s", err)
	}
	e := &streamEngine{id: id, service: service, zone: zone, version: version, events: events, pace: pace, address: l.Addr().String(), born: time.Now().UnixMilli(), runs: map[string]int{}}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e
}

// entry returns the engine's entry in the list of engines.
func (e *streamEngine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": state, "coldLeftMs": 0, "sequence": 1, "born": e.born,
	}
}

func (e *streamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case "/kv-list":
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "nextToken": 1, "held": []any{}, "born": e.born})
		return
	case "/report":
		e.mu.Lock()
		runs := []any{}
		for id, made := range e.runs {
			runs = append(runs, []any{id, 1000, made, 5})
		}
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"phase": "unified", "modelList": []any{}, "utilization": false, "sequence": 0, "queued": 0, "active": len(runs), "kvInUse": 1000 * len(runs), "kvSize": 55000,
			"kvHandles": 0, "runs": runs, "state": "ready", "born": e.born,
		})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Kv-From") != "" { // it keeps no copies
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	record.printf("engine %s (%s) runs %s after event %d", e.id, e.version, id, after)
	e.setMade(id, after)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.runs, id)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Signature", "signed."+e.id+"."+id)
	control := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.pace):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, e.id, e.version); err != nil || control.Flush() != nil {
			return
		}
		e.setMade(id, n)
	}
}

func (e *streamEngine) setMade(id string, made int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] = made
}

// takenStream is a stream as a client has it, over all of its tries.
type takenStream struct {
	first    string // the attempt that brought the first event
	last     int    // id of the last event
	versions map[string]int
	tries    int
	ended    bool // whether the last event has come and the stream has ended
	refused  int  // tries that were refused

	brokenOff bool // whether a try has brought events and then broken off
	takenUp   []takeUp
}

// takeUp is a try to go on with a stream.
type takeUp struct {
	at     time.Time
	wentOn bool
}

// streamClient sends one prompt, and takes its stream up again with the id of the last event where it breaks off, at other nodes and with new attempts, until it ends or the deadline
// has passed.
type streamClient struct {
	nodes    []*node
	path     string
	deadline time.Time
	maxTries int
	pause    time.Duration // before the next try, where the answer states none; 300 ms where it is 0
}

func (c *streamClient) run(name string) *takenStream {
	s := &takenStream{versions: map[string]int{}}
	for s.tries < c.maxTries && !s.ended && time.Now().Before(c.deadline) {
		n := c.nodes[rand.IntN(len(c.nodes))]
		if !n.isUp() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.tries++
		wait := c.try(name, n, s)
		if !s.ended {
			time.Sleep(min(wait, time.Until(c.deadline)/3))
		}
	}
	return s
}

// try makes one attempt and returns how long to wait for the next one.
func (c *streamClient) try(name string, n *node, s *takenStream) time.Duration {
	id, after := newID(), s.last
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.listen+c.path, strings.NewReader("describe "+name))
	if err != nil {
		cannotRun("%s", err)
	}
	req.Host = callHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(c.deadline).Milliseconds()))
	req.Header.Set("X-Model-Id", "m")
	req.Header.Set("X-Token-Usage", "1000,300")
	req.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:200,%08x:800", rand.Uint32()))
	if after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		req.Header.Set("Resumes", s.first)
	}
	retryAfter := cmp.Or(c.pause, 300*time.Millisecond)
	if after > 0 {
		at := time.Now()
		defer func() { s.takenUp = append(s.takenUp, takeUp{at: at, wentOn: s.last > after || s.ended}) }()
	}
	res, err := callClient.Do(req)
	if err != nil {
		record.printf("stream %s: try %s at %s after event %d: %s", name, id, n.name, after, err)
		return retryAfter
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		s.refused++
		record.printf("stream %s: try %s at %s after event %d: status %d %q", name, id, n.name, after, res.StatusCode, strings.TrimSpace(string(text)))
		if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
		return retryAfter
	}
	err = s.take(res.Body, id)
	s.ended = err == nil
	s.brokenOff = s.brokenOff || (err != nil && s.last > after)
	record.printf("stream %s: try %s at %s after event %d: events to %d, %v, by version %v", name, id, n.name, after, s.last, err, s.versions)
	return retryAfter
}

// take reads events until the stream ends or breaks off.
func (s *takenStream) take(body io.Reader, attempt string) error {
	r := bufio.NewReader(body)
	id, version := 0, ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			if err == io.EOF && line == "" {
				return nil
			}
			return fmt.Errorf("broken off: %w", err)
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			if fields := strings.Fields(line[6:]); len(fields) == 2 {
				version = fields[1]
			}
		case line == "" && id > 0:
			if s.first == "" {
				s.first = attempt
			}
			s.last = id
			s.versions[version]++
			id, version = 0, ""
		}
	}
}
