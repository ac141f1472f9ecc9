package catalog_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/memory"
)

// faultyTable is a table some of whose calls fail.
type faultyTable struct {
	store.Table
	lostAnswers atomic.Int64 // number of coming transactions that take effect although their answers are lost
	hangs       atomic.Int64 // number of coming reads that hang
}

func (f *faultyTable) Get(ctx context.Context, key store.Key) (store.Row, error) {
	if f.hangs.Add(-1) >= 0 {
		<-ctx.Done()
		return store.Row{}, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, ctx.Err(), "no answer")
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, tx store.Tx) error {
	err := f.Table.Commit(ctx, tx)
	if f.lostAnswers.Add(-1) >= 0 {
		return vaneyoke.Err(vaneyoke.CodeStoreUnknown, "the answer was lost")
	}
	return err
}

// TestLeaveRetriesAfterLostAnswers loses the store's answers during a whole attempt to leave, or leaves a call unanswered: the node must still be
// removed from the members, and Leave must return without an error. If the store never answers, Leave gives up when its time is over.
func TestLeaveRetriesAfterLostAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		lost, hangs int64
		timeLimit   time.Duration
		fails       bool
	}{
		"calm":                {timeLimit: 0},
		"answers lost":        {lost: 4, timeLimit: 100 * time.Millisecond},
		"a call hangs":        {hangs: 1, timeLimit: 700 * time.Millisecond},
		"two calls hang":      {hangs: 2, timeLimit: 1400 * time.Millisecond},
		"nothing is answered": {hangs: 1000, timeLimit: 2 * time.Second, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				table := &faultyTable{Table: memory.New()}
				f := catalog.NewFollower(catalog.Node{VM: "vm1"}, table, nil, time.Second, 2*time.Second, log, func(*catalog.Snapshot) {})
				f.Poll(t.Context())
				must.NoError(t, f.Join(t.Context()))
				f.Poll(t.Context())
				must.SliceContains(t, f.Current().Members(), "vm1")
				table.lostAnswers.Store(tc.lost)
				table.hangs.Store(tc.hangs)
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := f.Leave(ctx)
				must.EqOp(t, tc.fails, err != nil)
				must.LessEq(t, tc.timeLimit, time.Since(began))
				_, err = table.Table.Get(t.Context(), store.Key{Partition: catalog.PartitionNodes, ID: "vm1"})
				must.EqOp(t, tc.fails, err == nil)
			})
		})
	}
}
