package claims

import (
	"context"
	"expvar"
	"time"

	"github.com/google/uuid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

const (
	queueLength    = 1024
	maxBatchWrites = 25
)

// Batcher collects the writes of a short time window and commits them in one transaction.
type Batcher struct {
	table        store.Table
	window       time.Duration
	queue        chan pendingWrite
	writes       *expvar.Int
	transactions *expvar.Int
}

// pendingWrite is a write that waits for its outcome.
type pendingWrite struct {
	put  store.Put
	done chan error
}

// NewBatcher returns a Batcher that collects writes for the given window. Writes are sent while Run is running.
func NewBatcher(table store.Table, window time.Duration, vars *expvar.Map) *Batcher {
	b := &Batcher{table: table, window: window, queue: make(chan pendingWrite, queueLength), writes: new(expvar.Int), transactions: new(expvar.Int)}
	vars.Set("claim_writes_total", b.writes)
	vars.Set("claim_transactions_total", b.transactions)
	return b
}

// Write stores a row. The code of its error distinguishes a conflict, an unavailable store, and an unknown outcome.
func (b *Batcher) Write(ctx context.Context, put store.Put) error {
	p := pendingWrite{put: put, done: make(chan error, 1)}
	select {
	case b.queue <- p:
	default:
		return vaneyoke.Err(vaneyoke.CodeStoreDown, "too many claims wait for the store")
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return vaneyoke.WrapErr(vaneyoke.CodeStoreUnknown, ctx.Err(), "claim %s", put.Key.ID)
	}
}

// Run sends batches until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			batch := b.collect(ctx, first)
			go b.send(ctx, batch)
		}
	}
}

// collect returns the writes that arrive within the window. A transaction may write a row only once, so further writes to a row are sent on
// their own.
func (b *Batcher) collect(ctx context.Context, first pendingWrite) []pendingWrite {
	batch := []pendingWrite{first}
	keys := map[store.Key]bool{first.put.Key: true}
	timer := time.NewTimer(b.window)
	defer timer.Stop()
	for len(batch) < maxBatchWrites {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case p := <-b.queue:
			if keys[p.put.Key] {
				go b.send(ctx, []pendingWrite{p})
				continue
			}
			keys[p.put.Key] = true
			batch = append(batch, p)
		}
	}
	return batch
}

// send commits a batch. If it fails because of a conflict, each write is retried in a transaction of its own.
func (b *Batcher) send(ctx context.Context, batch []pendingWrite) {
	err := b.commit(ctx, batch)
	if vaneyoke.CodeOf(err) != vaneyoke.CodeStoreRace || len(batch) == 1 {
		for _, p := range batch {
			p.done <- err
		}
		return
	}
	for _, p := range batch {
		go func() { p.done <- b.commit(ctx, []pendingWrite{p}) }()
	}
}

func (b *Batcher) commit(ctx context.Context, batch []pendingWrite) error {
	tx := store.Tx{Nonce: store.Nonce(uuid.NewString())}
	for _, p := range batch {
		tx.Writes = append(tx.Writes, p.put)
	}
	b.transactions.Add(1)
	b.writes.Add(int64(len(batch)))
	return store.CommitWithRetry(ctx, b.table, tx)
}
