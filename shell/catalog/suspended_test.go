package catalog_test

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/store/memory"
)

// A node may use its configuration for 2 s after a confirmation. A process's monotonic clock stops while its VM is suspended, so a node that
// had been suspended for minutes accepted requests with a configuration that was minutes old, and would have accepted a revoked key.
func TestSuspendedNodeIsNotFresh(t *testing.T) {
	var suspended atomic.Int64
	t.Cleanup(steady.ReplaceSystem(steady.New(func() time.Duration { return time.Duration(suspended.Load()) })))
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := memory.New()
	_, err := catalog.Apply(t.Context(), table, catalog.Change{Partition: catalog.PartitionNodes, ID: "vm1", Value: catalog.Node{VM: "vm1"}})
	must.NoError(t, err)
	f := catalog.NewFollower(catalog.Node{VM: "vm1"}, table, nil, time.Second, 2*time.Second, log, func(*catalog.Snapshot) {})
	f.Poll(t.Context())
	must.True(t, f.Fresh(steady.Now()))
	suspended.Add(int64(3 * time.Second))
	must.False(t, f.Fresh(steady.Now()))
	f.Poll(t.Context())
	must.True(t, f.Fresh(steady.Now()))
}
