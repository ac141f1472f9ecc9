package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/backlog"
)

// pressurePoll is how often a caller that waits for memory looks whether others have freed some.
const pressurePoll = 100 * time.Millisecond

// buffers accounts for the bytes that the node holds for callers.
type buffers struct {
	mu     sync.Mutex
	ledger *backlog.Ledger
	open   map[backlog.ID]*Buffer
}

func newBuffers(limits backlog.Limits) *buffers {
	return &buffers{ledger: backlog.New(limits), open: map[backlog.ID]*Buffer{}}
}

// BufferedBytes returns the bytes that are held for all callers.
func (r *Relay) BufferedBytes() int64 {
	r.buffers.mu.Lock()
	defer r.buffers.mu.Unlock()
	return int64(r.buffers.ledger.Total())
}

// Buffer is the account of one caller. Its methods do nothing on a nil Buffer.
type Buffer struct {
	relay   *Relay
	request vaneyoke.RequestID
	cut     func()
	id      backlog.ID
	taken   chan struct{} // signalled when the caller has read something
}

// OpenBuffer adds a caller. If it is cut off because it does not read, the function cut is called, possibly more than once.
func (r *Relay) OpenBuffer(request vaneyoke.RequestID, cut func()) *Buffer {
	b := &Buffer{relay: r, request: request, cut: cut, taken: make(chan struct{}, 1)}
	r.buffers.mu.Lock()
	defer r.buffers.mu.Unlock()
	b.id = r.buffers.ledger.Open(time.Now())
	r.buffers.open[b.id] = b
	return b
}

// Close releases all that was held for the caller.
func (b *Buffer) Close() {
	if b == nil {
		return
	}
	all := b.relay.buffers
	all.mu.Lock()
	defer all.mu.Unlock()
	all.ledger.Close(b.id)
	delete(all.open, b.id)
}

// account calls a function with the node's ledger.
func (b *Buffer) account(do func(*backlog.Ledger)) {
	b.relay.buffers.mu.Lock()
	defer b.relay.buffers.mu.Unlock()
	do(b.relay.buffers.ledger)
}

// Reserve reserves memory for the request's body; it fails with CodeNoMemory if the node holds too much for its callers.
func (b *Buffer) Reserve(n int) error {
	if b == nil {
		return nil
	}
	var ok bool
	var total backlog.Bytes
	b.account(func(l *backlog.Ledger) { ok, total = l.Reserve(b.id, backlog.Bytes(n)), l.Total() })
	if !ok {
		return vaneyoke.Err(vaneyoke.CodeNoMemory, "no room for %d bytes of the body beside the %d that are held", n, total)
	}
	return nil
}

// Release returns memory that was reserved for the request's body.
func (b *Buffer) Release(n int) {
	if b != nil {
		b.account(func(l *backlog.Ledger) { l.Release(b.id, backlog.Bytes(n)) })
	}
}

// Grow waits until an answer may take more memory before it can be delivered, and records it. It fails if ctx ends first.
func (b *Buffer) Grow(ctx context.Context, n int) error {
	if b == nil {
		return nil
	}
	for !b.mayGrow(n) {
		if !b.wait(ctx) {
			return ctx.Err()
		}
	}
	return nil
}

// mayGrow reports whether an answer may take more memory, and records it if it may. Otherwise it cuts off callers that have stalled under pressure.
func (b *Buffer) mayGrow(n int) (ok bool) {
	all := b.relay.buffers
	all.mu.Lock()
	defer all.mu.Unlock()
	if all.ledger.Grow(b.id, backlog.Bytes(n)) {
		return true
	}
	all.cutStalledLocked()
	return false
}

// Shrink records that an answer takes less memory.
func (b *Buffer) Shrink(n int) {
	if b != nil {
		b.account(func(l *backlog.Ledger) { l.Shrink(b.id, backlog.Bytes(n)) })
	}
}

// buffered records bytes of a stream that the caller has yet to read.
func (b *Buffer) buffered(now time.Time, n int) {
	if b == nil {
		return
	}
	b.account(func(l *backlog.Ledger) { l.Buffer(now, b.id, backlog.Bytes(n)) })
}

// delivering records that a complete answer, which was received before, is the caller's to read.
func (b *Buffer) delivering(now time.Time, n int) {
	if b == nil {
		return
	}
	b.account(func(l *backlog.Ledger) { l.Deliver(now, b.id, backlog.Bytes(n)) })
}

// Delivered records that the caller's connection has taken bytes of the answer.
func (b *Buffer) Delivered(n int) {
	if b == nil {
		return
	}
	b.account(func(l *backlog.Ledger) { l.Take(time.Now(), b.id, backlog.Bytes(n)) })
	select {
	case b.taken <- struct{}{}:
	default:
	}
}

// check returns whether more may be held for the caller, and cuts off callers that have stalled under pressure.
func (b *Buffer) check() backlog.Verdict {
	all := b.relay.buffers
	all.mu.Lock()
	defer all.mu.Unlock()
	verdict := all.ledger.Check(b.id)
	if verdict == backlog.WaitNode {
		all.cutStalledLocked()
	}
	return verdict
}

// cutStalledLocked cuts off callers that have stalled under pressure.
func (r *buffers) cutStalledLocked() {
	for _, id := range r.ledger.Stalled(time.Now()) {
		stalled := r.open[id]
		stalled.recordCut("stalled", r.ledger.Unread(id), r.ledger.Total(), nil)
		go stalled.cut()
	}
}

// wait waits until the caller has read something or others may have freed memory; ok is false if ctx ends first.
func (b *Buffer) wait(ctx context.Context) (ok bool) {
	timer := time.NewTimer(pressurePoll)
	defer timer.Stop()
	select {
	case <-b.taken:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// recordCut logs and counts that the caller is cut off.
func (b *Buffer) recordCut(reason string, unread, total backlog.Bytes, err error) {
	b.relay.metrics.Cut.Add(reason, 1)
	b.relay.log.WithFields(logrus.Fields{
		"request": b.request, "reason": reason, "unread_bytes": int64(unread), "node_bytes": int64(total), "error": err,
	}).Warn("caller_cut_off")
}

// CutOff records that the caller is cut off because a write to it failed or timed out.
func (b *Buffer) CutOff(err error) {
	if b != nil {
		b.recordCutNow("write", err)
	}
}

func (b *Buffer) recordCutNow(reason string, err error) {
	var unread, total backlog.Bytes
	b.account(func(l *backlog.Ledger) { unread, total = l.Unread(b.id), l.Total() })
	b.recordCut(reason, unread, total, err)
}
