package node

import (
	"bytes"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// routes holds the configuration in force at a node that takes opaque requests; it never goes back to an older one.
type routes struct {
	balancer  *balancer.Balancer
	log       logrus.FieldLogger
	current   atomic.Pointer[route.Table]
	tables    decoded[*route.Table]
	upstreams decoded[vaneyoke.Upstream]
	rollouts  *rolloutTables
	limits    *limitTables
	duties    *dutyTables
}

func newRoutes(b *balancer.Balancer, log logrus.FieldLogger) *routes {
	return &routes{
		balancer:  b,
		log:       log,
		tables:    decoded[*route.Table]{decode: platform.DecodeConfig, keeps: true},
		upstreams: decoded[vaneyoke.Upstream]{decode: platform.DecodeEngine},
	}
}

// Routes returns the newest table; nil where none is known yet.
func (r *routes) Routes() *route.Table { return r.current.Load() }

func (r *routes) version() vaneyoke.Revision {
	if table := r.current.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// setTables takes in the newest of the tables; it is not called by two goroutines at once.
func (r *routes) setTables(now time.Time, rows watch.Rows) {
	r.rollouts.setOrders(now, rows)
	r.duties.setTerms(now, rows)
	for _, table := range r.tables.take(rows, r.log) {
		if table == nil || (r.current.Load() != nil && table.Version() <= r.version()) {
			continue
		}
		r.log.WithFields(logrus.Fields{"version": table.Version(), "before": r.version()}).Info("configuration_in_force")
		r.current.Store(table)
	}
}

// setUpstreams takes in the list of upstreams.
func (r *routes) setUpstreams(now time.Time, rows watch.Rows) {
	upstreams := r.upstreams.take(rows, r.log)
	r.rollouts.setUpstreams(now, upstreams) // a version that is held back is so before it can be chosen
	r.balancer.SetUpstreams(upstreams, nil)
	r.limits.setUpstreams(upstreams)
	r.duties.setUpstreams(now, upstreams)
}

// decoded keeps what rows were read as, so that a change costs no more than the rows that changed.
type decoded[T any] struct {
	decode func(key string, data []byte) (T, error)
	keeps  bool // whether a row that cannot be read any more keeps its value
	known  map[string]decodedRow[T]
}

type decodedRow[T any] struct {
	data  []byte
	value T
	bad   bool // whether the data cannot be read
}

// take returns the values of all rows that can be read; one that cannot is logged, and keeps the value that it had where keeps says so.
func (d *decoded[T]) take(rows watch.Rows, log logrus.FieldLogger) []T {
	if d.known == nil {
		d.known = make(map[string]decodedRow[T], len(rows))
	}
	values := make([]T, 0, len(rows))
	for key, stored := range rows {
		data := stored.Data
		row, seen := d.known[key]
		if !seen || !bytes.Equal(row.data, data) {
			row = d.read(row, seen, key, data, log)
			d.known[key] = row
		}
		if !row.bad {
			values = append(values, row.value)
		}
	}
	if len(d.known) > len(rows) {
		maps.DeleteFunc(d.known, func(key string, _ decodedRow[T]) bool {
			_, stands := rows[key]
			return !stands
		})
	}
	return values
}

func (d *decoded[T]) read(before decodedRow[T], seen bool, key string, data []byte, log logrus.FieldLogger) decodedRow[T] {
	value, err := d.decode(key, data)
	if err == nil {
		return decodedRow[T]{data: data, value: value}
	}
	log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
	return decodedRow[T]{data: data, value: before.value, bad: !d.keeps || !seen || before.bad}
}
