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
	queueLength = 1024
	batchWrites = 25
)

// Batcher gathers writes for a moment and sends them as one transaction.
type Batcher struct {
	table  store.Table
	window time.Duration
	queue  chan pending
	writes *expvar.Int
	calls  *expvar.Int
}

// pending is a write that waits for its outcome.
type pending struct {
	put  store.Put
	done chan error
}

// NewBatcher returns a batcher that gathers writes for the given time; Run has to be called for it to send them.
func NewBatcher(table store.Table, window time.Duration, vars *expvar.Map) *Batcher {
	b := &Batcher{table: table, window: window, queue: make(chan pending, queueLength), writes: new(expvar.Int), calls: new(expvar.Int)}
	vars.Set("claim_writes_total", b.writes)
	vars.Set("claim_transactions_total", b.calls)
	return b
}

// Write stores a row; an error tells a race from an outage and from an outcome that is not known.
func (b *Batcher) Write(ctx context.Context, put store.Put) error {
	p := pending{put: put, done: make(chan error, 1)}
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
			batch := b.gather(ctx, first)
			go b.send(ctx, batch)
		}
	}
}

// gather takes what comes within the window; rows stand once in a transaction.
func (b *Batcher) gather(ctx context.Context, first pending) []pending {
	batch := []pending{first}
	keys := map[store.Key]bool{first.put.Key: true}
	timer := time.NewTimer(b.window)
	defer timer.Stop()
	for len(batch) < batchWrites {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case p := <-b.queue:
			if keys[p.put.Key] {
				go b.send(ctx, []pending{p})
				continue
			}
			keys[p.put.Key] = true
			batch = append(batch, p)
		}
	}
	return batch
}

// send commits a batch; where one of its writes loses a race, each is tried by itself.
func (b *Batcher) send(ctx context.Context, batch []pending) {
	err := b.commit(ctx, batch)
	if vaneyoke.CodeOf(err) != vaneyoke.CodeStoreRace || len(batch) == 1 {
		for _, p := range batch {
			p.done <- err
		}
		return
	}
	for _, p := range batch {
		go func() { p.done <- b.commit(ctx, []pending{p}) }()
	}
}

func (b *Batcher) commit(ctx context.Context, batch []pending) error {
	tx := store.Tx{Nonce: store.Nonce(uuid.NewString())}
	for _, p := range batch {
		tx.Writes = append(tx.Writes, p.put)
	}
	b.calls.Add(1)
	b.writes.Add(int64(len(batch)))
	return store.CommitWithRetry(ctx, b.table, tx)
}
