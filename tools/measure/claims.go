package measure

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/claim"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/memory"
)

func newTable() store.Table { return memory.New() }

// countingCommits is a table that counts transactions and their writes.
type countingCommits struct {
	store.Table
	mu            sync.Mutex
	calls, writes int
}

// Commit counts and commits a transaction, with the latency of a nearby store.
func (c *countingCommits) Commit(ctx context.Context, tx store.Tx) error {
	c.mu.Lock()
	c.calls++
	c.writes += len(tx.Writes)
	c.mu.Unlock()
	time.Sleep(commitTime)
	return c.Table.Commit(ctx, tx)
}

const commitTime = 2 * time.Millisecond

// claimWrites measures the rows and transactions that claimed calls write to the store.
func claimWrites(ctx context.Context) ([]Series, error) {
	writes := Series{Name: "claim_writes", X: "claimed calls", Y: "rows written"}
	calls := Series{Name: "claim_transactions", X: "claimed calls", Y: "transactions"}
	for _, count := range []int{50, 200, 800} {
		table := &countingCommits{Table: newTable()}
		if err := claimAll(ctx, table, count); err != nil {
			return nil, err
		}
		writes.Points = append(writes.Points, Point{float64(count), float64(table.writes)})
		calls.Points = append(calls.Points, Point{float64(count), float64(table.calls)})
	}
	return []Series{writes, calls}, nil
}

// claimAll makes 200 claimed calls per second and waits until their answers are saved.
func claimAll(ctx context.Context, table *countingCommits, count int) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	batch := claims.NewBatcher(table, 3*time.Millisecond, new(expvar.Map).Init())
	config := claims.Config{StoreTimeout: 10 * time.Second, SaveTimeout: 10 * time.Second, SettleInterval: time.Second}
	c := claims.New(vaneyoke.NodeID{VM: "vm-1"}, config, table, batch, log)
	go c.Run(ctx)
	var wait sync.WaitGroup
	errs := make(chan error, count)
	for i := range count {
		time.Sleep(5 * time.Millisecond)
		wait.Go(func() {
			req := claims.Request{Workspace: "w", Key: fmt.Sprint(i), ID: vaneyoke.RequestID(fmt.Sprint(i))}
			_, err := c.RunAtMostOnce(ctx, req, func(context.Context) claims.Outcome {
				return claims.Outcome{Answer: &claim.Answer{Status: 200}}
			})
			errs <- err
		})
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	for table.written() < 2*count && ctx.Err() == nil {
		time.Sleep(commitTime)
	}
	return ctx.Err()
}

func (c *countingCommits) written() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}
