package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// RetryGate lets the followers of one store call it one at a time, with exponential backoff, from a failure on until it answers again.
type RetryGate struct {
	mu          sync.Mutex
	unavailable bool // whether the store has not answered since the last failure
	probing     bool // whether a follower is calling an unavailable store
	failures    int  // in a row
	nextTry     time.Time
	changed     chan struct{} // closed when any of these changes
}

// NewRetryGate returns the gate of a store that is not yet known to answer.
func NewRetryGate() *RetryGate {
	return &RetryGate{unavailable: true, changed: make(chan struct{})}
}

// acquire waits until the store may be called; exclusive reports that no other follower calls it meanwhile.
func (g *RetryGate) acquire(ctx context.Context) (exclusive bool) {
	for ctx.Err() == nil {
		g.mu.Lock()
		left := time.Until(g.nextTry)
		switch {
		case !g.unavailable:
			g.mu.Unlock()
			return false
		case !g.probing && left <= 0:
			g.probing = true
			g.mu.Unlock()
			return true
		case g.probing:
			left = time.Hour // changed is closed when the other follower's call ends
		}
		changed := g.changed
		g.mu.Unlock()
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// release records the result of a call that acquire admitted.
func (g *RetryGate) release(exclusive, answered bool, config Config, listed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if exclusive {
		g.probing = false
	}
	switch {
	case answered:
		g.unavailable, g.failures = false, 0
	case exclusive || !g.unavailable:
		g.unavailable = true
		g.failures++
		g.nextTry = time.Now().Add(backoff(g.failures, config, listed))
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// backoff returns a random delay that grows with the failures in a row, so that the nodes do not all retry at the same moment.
func backoff(failures int, config Config, listed bool) time.Duration {
	full := config.MaxBackoff
	if !listed {
		full = min(full, config.MaxListBackoff)
	}
	if shift := failures - 1; shift < 16 {
		full = min(config.BaseBackoff<<shift, full)
	}
	return full/2 + rand.N(full/2+1)
}
