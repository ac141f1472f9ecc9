package node

import (
	"bytes"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// activeConfig holds the active configuration of a node that serves opaque requests; its version never decreases.
type activeConfig struct {
	balancer    *balancer.Balancer
	log         logrus.FieldLogger
	table       atomic.Pointer[route.Table]
	routeTables decodeCache[*route.Table]
	upstreams   decodeCache[vaneyoke.Upstream]
	rollouts    *rolloutTables
	limits      *limitTables
	duties      *dutyTables
	versions    *versionTables
	queue       *queueModes
	dialer      *detours.Dialer
	pins        *pins.Node
	changes     *plannedChanges
}

func newActiveConfig(b *balancer.Balancer, changes *plannedChanges, log logrus.FieldLogger) *activeConfig {
	return &activeConfig{
		changes:     changes,
		balancer:    b,
		log:         log,
		routeTables: decodeCache[*route.Table]{decode: platform.DecodeConfig, keepLast: true},
		upstreams:   decodeCache[vaneyoke.Upstream]{decode: platform.DecodeEngine},
	}
}

// Routes returns the active route table, or nil if none has been read yet.
func (c *activeConfig) Routes() *route.Table { return c.table.Load() }

func (c *activeConfig) version() vaneyoke.Revision {
	if table := c.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// callerTimeouts returns the times that the configuration gives callers.
func (c *activeConfig) callerTimeouts() serve.Timeouts {
	table := c.table.Load()
	if table == nil {
		return serve.Timeouts{}
	}
	limits := table.Limits()
	return serve.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// headerBytes returns the largest header that the configuration gives callers, 0 if it gives none.
func (c *activeConfig) headerBytes() int {
	if table := c.table.Load(); table != nil {
		return table.Limits().HeaderBytes
	}
	return 0
}

// setRoutes activates the newest of the route tables. It must not be called concurrently.
func (c *activeConfig) setRoutes(now time.Time, rows watch.Rows) {
	c.rollouts.setOrders(now, rows)
	c.duties.setScalingConfigs(now, rows)
	for _, table := range c.routeTables.update(rows, c.log) {
		if table == nil || (c.table.Load() != nil && table.Version() <= c.version()) {
			continue
		}
		c.log.WithFields(logrus.Fields{"version": table.Version(), "before": c.version()}).Info("configuration_in_force")
		c.versions.setRoutes(table) // first, so that no caller takes up a stream by a route of which it is not known that it moved
		c.table.Store(table)
		c.changes.configured.Store(new(time.Now()))
		c.queue.apply(table)
		for service, isRanked := range table.StreamServices() {
			c.balancer.SetUneven(service, isRanked)
		}
	}
}

// setUpstreams applies the list of upstreams.
func (c *activeConfig) setUpstreams(now time.Time, rows watch.Rows) {
	upstreams := c.upstreams.update(rows, c.log)
	c.rollouts.setUpstreams(now, upstreams) // first, so that a held version is held before the balancer can choose it
	c.versions.setUpstreams(upstreams)      // likewise
	c.balancer.SetUpstreams(upstreams, nil)
	c.limits.setUpstreams(upstreams)
	c.duties.setUpstreams(now, upstreams)
	c.dialer.SetUpstreams(upstreamsByAddress(upstreams))
}

// decodeCache caches decoded rows, so that an update decodes only the rows that changed.
type decodeCache[T any] struct {
	decode   func(key string, data []byte) (T, error)
	keepLast bool // whether a row that has become unreadable keeps its last value
	rows     map[string]cachedRow[T]
}

type cachedRow[T any] struct {
	data       []byte
	value      T
	unreadable bool // whether the row has no usable value
}

// update returns the values of all readable rows. An unreadable row is logged, and keeps its last value if keepLast is set.
func (d *decodeCache[T]) update(rows watch.Rows, log logrus.FieldLogger) []T {
	if d.rows == nil {
		d.rows = make(map[string]cachedRow[T], len(rows))
	}
	values := make([]T, 0, len(rows))
	for key, stored := range rows {
		data := stored.Data
		row, seen := d.rows[key]
		if !seen || !bytes.Equal(row.data, data) {
			row = d.decodeRow(row, seen, key, data, log)
			d.rows[key] = row
		}
		if !row.unreadable {
			values = append(values, row.value)
		}
	}
	if len(d.rows) > len(rows) {
		maps.DeleteFunc(d.rows, func(key string, _ cachedRow[T]) bool {
			_, exists := rows[key]
			return !exists
		})
	}
	return values
}

func (d *decodeCache[T]) decodeRow(previous cachedRow[T], seen bool, key string, data []byte, log logrus.FieldLogger) cachedRow[T] {
	value, err := d.decode(key, data)
	if err == nil {
		return cachedRow[T]{data: data, value: value}
	}
	log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
	return cachedRow[T]{data: data, value: previous.value, unreadable: !d.keepLast || !seen || previous.unreadable}
}
