package duties

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/usage"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Path is where a node takes what those that follow it counted.
const Path = "/usage-counts"

const (
	handWait     = 1800 * time.Millisecond // longest wait for the node above, which may wait for the store
	writtenWait  = 1500 * time.Millisecond // longest wait for the store to hold what was handed on
	maxHandBytes = 4 << 20
	mostHandings = 16              // batches in a row, where more waits
	longestTold  = 2 * time.Second // of a node's load that counts, where it was not told for longer
)

// handed is what a node hands to the one above it.
type handed struct {
	Batches []usage.Batch                        `json:"batches,omitempty"`
	Loads   map[vaneyoke.ServiceID]capacity.Load `json:"loads,omitempty"`
	Told    time.Duration                        `json:"told,omitempty"` // for which nodes tell their loads, summed up over them
}

// ServeHTTP takes what a node that follows this one counted: 200 says that it has been taken over, any other status that it must be offered again.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var h handed
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHandBytes)).Decode(&h); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !n.take(r.Context(), h) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// take takes over what was handed on; the root does so once the store holds it.
func (n *Node) take(ctx context.Context, h handed) bool {
	n.mu.Lock()
	h.Batches = n.soundLocked(h.Batches)
	n.takeLoadsLocked(h.Loads, h.Told)
	if n.isRoot() {
		n.mu.Unlock()
		return n.store(ctx, h.Batches)
	}
	defer n.mu.Unlock()
	window := usage.WindowAt(n.clock.Wall(steady.Now()), max(n.config.Usage.WindowLength, 1))
	for i := range h.Batches {
		if !n.tally.Merge(&h.Batches[i], window) {
			return false
		}
	}
	return true
}

// soundLocked returns the batches that a node of this build may have handed on; others are told of and count as taken, since they come again otherwise.
func (n *Node) soundLocked(all []usage.Batch) []usage.Batch {
	here := usage.WindowAt(n.clock.Wall(steady.Now()), max(n.config.Usage.WindowLength, 1))
	return slices.DeleteFunc(all, func(b usage.Batch) bool {
		sound := b.Valid(here)
		if !sound {
			n.metrics.counts.Add("usage_unsound_total", 1)
			n.log.WithFields(logrus.Fields{"peer": b.Origin, "seq": b.Seq}).Warn("counts_unsound")
		}
		return !sound
	})
}

// takeLoadsLocked adds what nodes told of their load.
func (n *Node) takeLoadsLocked(loads map[vaneyoke.ServiceID]capacity.Load, told time.Duration) {
	members := n.tree.Members()
	if told <= 0 || told > time.Duration(members)*longestTold {
		return
	}
	maps.DeleteFunc(loads, func(_ vaneyoke.ServiceID, load capacity.Load) bool { return !load.Valid() })
	if n.isRoot() {
		n.plan.Handle(steady.Now(), capacity.LoadReported{Loads: loads, Coverage: told.Seconds() / float64(members)})
		return
	}
	n.told += told
	for service, load := range loads {
		if n.ordered[service] {
			n.loads[service] = n.loads[service].Add(load)
		}
	}
}

// store waits until the store holds batches, and reports whether it does.
func (n *Node) store(ctx context.Context, batches []usage.Batch) bool {
	ctx, cancel := context.WithTimeout(ctx, writtenWait)
	defer cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reportsUsage() || n.book.Full() {
		return len(batches) == 0
	}
	for _, b := range batches {
		n.book.Handle(steady.Now(), usage.BatchReceived{Batch: b})
	}
	for !n.holdsLocked(batches) {
		written := n.written
		n.mu.Unlock()
		select {
		case <-written:
		case <-ctx.Done():
		}
		n.mu.Lock()
		if ctx.Err() != nil {
			return n.holdsLocked(batches)
		}
	}
	return true
}

// holdsLocked reports whether the store is known to hold batches.
func (n *Node) holdsLocked(batches []usage.Batch) bool {
	for i := range batches {
		b := &batches[i]
		if mark := n.stored[b.Origin]; mark.Life != b.Life || mark.Seq < b.Seq {
			return false
		}
	}
	return true
}

// hand hands on what the node has counted and taken over, in some batches where much waits.
func (n *Node) hand(ctx context.Context) {
	for range mostHandings {
		if !n.handOnce(ctx) {
			return
		}
	}
}

// handOnce hands on a batch, and reports whether it was taken and more waits.
func (n *Node) handOnce(ctx context.Context) (more bool) {
	n.mu.Lock()
	h := handed{Batches: n.tally.NextBatches()}
	if len(n.ordered) > 0 {
		h.Loads, h.Told = n.loadsLocked(steady.Now())
	}
	n.tellDroppedLocked()
	root := n.isRoot()
	n.mu.Unlock()
	if len(h.Batches) == 0 && h.Told == 0 {
		return false
	}
	if root {
		if !n.take(ctx, h) {
			return false
		}
	} else if err := n.handAbove(ctx, h); err != nil {
		n.log.WithFields(logrus.Fields{"batches": len(h.Batches), "error": err}).Debug("counts_not_taken")
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tally.Acknowledge(h.Batches)
	return n.tally.HasBacklog()
}

// loadsLocked returns what the node has to tell of loads, and for how long, and begins anew.
func (n *Node) loadsLocked(now time.Time) (map[vaneyoke.ServiceID]capacity.Load, time.Duration) {
	loads, told := n.loads, n.told+min(now.Sub(n.toldAt), longestTold)
	n.loads, n.told, n.toldAt = map[vaneyoke.ServiceID]capacity.Load{}, 0, now
	return loads, told
}

// tellDroppedLocked tells of counts that were let go because nobody took them for long.
func (n *Node) tellDroppedLocked() {
	if dropped, ok := n.tally.Dropped(); ok {
		n.keepLocked(dropped)
	}
}

func (n *Node) handAbove(ctx context.Context, h handed) error {
	next, ok := n.next()
	if !ok {
		return vaneyoke.Err(vaneyoke.CodeStoreDown, "no node is known that the store answers")
	}
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next.Address+Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHandBytes)) // so that the connection is used again
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	n.metrics.counts.Add("handed_bytes_total", int64(len(body)))
	return nil
}
