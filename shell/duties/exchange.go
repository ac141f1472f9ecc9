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

// Path is the HTTP path at which a node receives counts and loads from its child nodes.
const Path = "/usage-counts"

const (
	forwardTimeout    = 1800 * time.Millisecond // of a message to the parent node, which may wait for the store
	batchStoreTimeout = 1500 * time.Millisecond // longest wait until the store holds the batches of a message
	maxForwardBytes   = 4 << 20
	maxForwardsInARow = 16              // messages in a row while there is a backlog
	maxLoadInterval   = 2 * time.Second // a node's load counts for no longer, even if its last message is older
)

// forwardMessage holds the counts and loads that a node sends to its parent.
type forwardMessage struct {
	Batches  []usage.Batch                        `json:"batches,omitempty"`
	Loads    map[vaneyoke.ServiceID]capacity.Load `json:"loads,omitempty"`
	Coverage time.Duration                        `json:"told,omitempty"` // time covered by Loads, summed over the nodes
}

// ServeHTTP receives counts and loads from a child node. Status 200 means that they were accepted, any other status that they must be sent again.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var msg forwardMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxForwardBytes)).Decode(&msg); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !n.accept(r.Context(), msg) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// accept takes responsibility for a message's contents; the root does so once the store holds its batches.
func (n *Node) accept(ctx context.Context, msg forwardMessage) bool {
	n.mu.Lock()
	msg.Batches = n.validBatchesLocked(msg.Batches)
	n.addLoadsLocked(msg.Loads, msg.Coverage)
	if n.isRoot() {
		n.mu.Unlock()
		return n.storeBatches(ctx, msg.Batches)
	}
	defer n.mu.Unlock()
	window := usage.WindowAt(n.clock.Wall(steady.Now()), max(n.config.Usage.WindowLength, 1))
	for i := range msg.Batches {
		if !n.aggregator.Merge(&msg.Batches[i], window) {
			return false
		}
	}
	return true
}

// validBatchesLocked returns the batches that a node of this build may have sent. The others are logged and treated as accepted, since they would be sent again otherwise.
func (n *Node) validBatchesLocked(all []usage.Batch) []usage.Batch {
	current := usage.WindowAt(n.clock.Wall(steady.Now()), max(n.config.Usage.WindowLength, 1))
	return slices.DeleteFunc(all, func(b usage.Batch) bool {
		valid := b.Valid(current)
		if !valid {
			n.metrics.counts.Add("usage_unsound_total", 1)
			n.log.WithFields(logrus.Fields{"peer": b.Origin, "seq": b.Seq}).Warn("counts_unsound")
		}
		return !valid
	})
}

// addLoadsLocked adds the loads that nodes reported.
func (n *Node) addLoadsLocked(loads map[vaneyoke.ServiceID]capacity.Load, coverage time.Duration) {
	members := n.tree.Members()
	if coverage <= 0 || coverage > time.Duration(members)*maxLoadInterval {
		return
	}
	maps.DeleteFunc(loads, func(_ vaneyoke.ServiceID, load capacity.Load) bool { return !load.Valid() })
	if n.isRoot() {
		n.planner.Handle(steady.Now(), capacity.LoadReported{Loads: loads, Coverage: coverage.Seconds() / float64(members)})
		return
	}
	n.loadCoverage += coverage
	for service, load := range loads {
		if n.autoscaled[service] {
			n.loads[service] = n.loads[service].Add(load)
		}
	}
}

// storeBatches waits until the store holds the batches, and reports whether it does.
func (n *Node) storeBatches(ctx context.Context, batches []usage.Batch) bool {
	ctx, cancel := context.WithTimeout(ctx, batchStoreTimeout)
	defer cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reportsUsage() || n.reporter.Full() {
		return len(batches) == 0
	}
	for _, b := range batches {
		n.reporter.Handle(steady.Now(), usage.BatchReceived{Batch: b})
	}
	for !n.storedLocked(batches) {
		batchStored := n.batchStored
		n.mu.Unlock()
		select {
		case <-batchStored:
		case <-ctx.Done():
		}
		n.mu.Lock()
		if ctx.Err() != nil {
			return n.storedLocked(batches)
		}
	}
	return true
}

// storedLocked reports whether the batches are known to be in the store.
func (n *Node) storedLocked(batches []usage.Batch) bool {
	for i := range batches {
		b := &batches[i]
		if watermark := n.stored[b.Origin]; watermark.Life != b.Life || watermark.Seq < b.Seq {
			return false
		}
	}
	return true
}

// forward sends the node's own and accepted counts to the parent, in several messages if there is a backlog.
func (n *Node) forward(ctx context.Context) {
	for range maxForwardsInARow {
		if !n.forwardOnce(ctx) {
			return
		}
	}
}

// forwardOnce sends one message, and reports whether it was accepted and there is a backlog.
func (n *Node) forwardOnce(ctx context.Context) (more bool) {
	n.mu.Lock()
	msg := forwardMessage{Batches: n.aggregator.NextBatches()}
	if len(n.autoscaled) > 0 {
		msg.Loads, msg.Coverage = n.takeLoadsLocked(steady.Now())
	}
	n.recordDroppedLocked()
	root := n.isRoot()
	n.mu.Unlock()
	if len(msg.Batches) == 0 && msg.Coverage == 0 {
		return false
	}
	if root {
		if !n.accept(ctx, msg) {
			return false
		}
	} else if err := n.forwardToParent(ctx, msg); err != nil {
		n.log.WithFields(logrus.Fields{"batches": len(msg.Batches), "error": err}).Debug("counts_not_taken")
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aggregator.Acknowledge(msg.Batches)
	return n.aggregator.HasBacklog()
}

// takeLoadsLocked returns and resets the loads to be reported, and the time that they cover.
func (n *Node) takeLoadsLocked(now time.Time) (map[vaneyoke.ServiceID]capacity.Load, time.Duration) {
	loads, coverage := n.loads, n.loadCoverage+min(now.Sub(n.loadsTakenAt), maxLoadInterval)
	n.loads, n.loadCoverage, n.loadsTakenAt = map[vaneyoke.ServiceID]capacity.Load{}, 0, now
	return loads, coverage
}

// recordDroppedLocked records counts that were dropped because no node accepted them for too long.
func (n *Node) recordDroppedLocked() {
	if dropped, ok := n.aggregator.Dropped(); ok {
		n.applyUsageLocked(dropped)
	}
}

func (n *Node) forwardToParent(ctx context.Context, msg forwardMessage) error {
	target, ok := n.forwardTarget()
	if !ok {
		return vaneyoke.Err(vaneyoke.CodeStoreDown, "no known node is connected to the store")
	}
	body, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxForwardBytes)) // lets the connection be reused
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	n.metrics.counts.Add("handed_bytes_total", int64(len(body)))
	return nil
}
