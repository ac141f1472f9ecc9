package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/balancer"
	"github.com/vaneyoke/vaneyoke/route"
	"github.com/vaneyoke/vaneyoke/watch"
)

// routes holds the configuration in force at a node that takes opaque requests; it never goes back to an older one.
type routes struct {
	balancer *balancer.Balancer
	log      logrus.FieldLogger
	current  atomic.Pointer[route.Table]
}

func newRoutes(b *balancer.Balancer, log logrus.FieldLogger) *routes {
	return &routes{balancer: b, log: log}
}

// Routes returns the newest table; nil where none is known yet.
func (r *routes) Routes() *route.Table { return r.current.Load() }

func (r *routes) version() vaneyoke.Revision {
	if table := r.current.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// setTables takes in the newest of the tables; it is called by one goroutine.
func (r *routes) setTables(_ time.Time, rows watch.Rows[*route.Table]) {
	for _, table := range rows {
		if table == nil || (r.current.Load() != nil && table.Version() <= r.version()) {
			continue
		}
		r.log.WithFields(logrus.Fields{"version": table.Version(), "before": r.version()}).Info("configuration_in_force")
		r.current.Store(table)
	}
}

// setUpstreams takes in the list of upstreams.
func (r *routes) setUpstreams(_ time.Time, rows watch.Rows[vaneyoke.Upstream]) {
	r.balancer.SetUpstreams(slices.Collect(maps.Values(rows)), nil)
}
