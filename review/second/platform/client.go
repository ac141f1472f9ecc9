//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const callHost = "kept.example"

// answer is what a client saw of one attempt.
type answer struct {
	id, node       string
	sentAt, doneAt time.Time
	status         int // 0 for none
	err            string
	body           string
}

// caller sends calls to nodes and keeps their answers.
type caller struct {
	mu      sync.Mutex
	answers map[string]*answer
	work    sync.WaitGroup
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one call and waits for its answer.
func (c *caller) send(n *node, path string, deadline time.Duration) *answer {
	a := &answer{id: newID(), node: n.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.listen+path, strings.NewReader("order one"))
	if err != nil {
		cannotRun("%s", err)
	}
	req.Host = callHost
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	res, err := callClient.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.body = res.StatusCode, string(data)
	}
	if err != nil {
		a.err = err.Error()
	}
	a.doneAt = time.Now()
	c.mu.Lock()
	if c.answers == nil {
		c.answers = map[string]*answer{}
	}
	c.answers[a.id] = a
	c.mu.Unlock()
	record.printf("call %s at %s: status %d %s, %d ms", a.id, a.node, a.status, a.err, a.doneAt.Sub(a.sentAt).Milliseconds())
	return a
}

// keepSending sends calls to a node with a pause between them until ctx ends.
func (c *caller) keepSending(ctx context.Context, n *node, path string, deadline, pause time.Duration) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		for ctx.Err() == nil {
			if n.isUp() {
				c.work.Add(1)
				go func() {
					defer c.work.Done()
					c.send(n, path, deadline)
				}()
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause/2 + rand.N(pause)):
			}
		}
	}()
}

// isUp reports whether callers reach the node, as the balancer would find out.
func (n *node) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && !n.resting
}

// rest says whether the balancer sends the node no callers.
func (n *node) rest(resting bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resting = resting
}
