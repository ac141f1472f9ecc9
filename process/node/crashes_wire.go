package node

import (
	"expvar"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/background"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/pushbacks"
	"github.com/vaneyoke/vaneyoke/shell/quarantines"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// crashTables passes the rows of the crashes table to the quarantine component. It may be created before that component.
type crashTables struct {
	node *quarantines.Node
	log  logrus.FieldLogger
}

// setRows passes on the rows of the crashes table.
func (t *crashTables) setRows(_ time.Time, rows watch.Rows) {
	t.node.SetRows(readRows(rows, t.log, platform.DecodeCrashes))
}

// readRows decodes rows; a row that cannot be decoded is logged and skipped.
func readRows[T any](rows watch.Rows, log logrus.FieldLogger, decode func(key string, row watch.Row) (T, error)) []T {
	values := make([]T, 0, len(rows))
	for key, row := range rows {
		value, err := decode(key, row)
		if err != nil {
			log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
			continue
		}
		values = append(values, value)
	}
	return values
}

func provideCrashTables(i do.Injector) (*crashTables, error) {
	return &crashTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// providePlacer returns the placer that chooses upstreams for the relay, with the gossip between nodes about upstreams and crashes.
func providePlacer(i do.Injector) (*gatewayPlacer, error) {
	s := do.MustInvoke[settings.Settings](i)
	member := do.MustInvoke[*mesh.Node](i)
	p := &gatewayPlacer{
		Balancer: do.MustInvoke[*balancer.Balancer](i), lender: do.MustInvoke[*mesh.Lender](i), mesh: member,
		rollouts: do.MustInvoke[*rollouts.Node](i), limits: do.MustInvoke[*ratelimits.Node](i),
		duties: do.MustInvoke[*duties.Node](i), pushbacks: do.MustInvoke[*pushbacks.Node](i),
		dialer: do.MustInvoke[*detours.Dialer](i), checks: background.New(maxPathChecks, pathCheckTimeout),
		queue: do.MustInvoke[*admissions.Node](i), modes: do.MustInvoke[*activeConfig](i).queue, streams: do.MustInvoke[*pins.Node](i),
	}
	p.gossip = mesh.NewGossip(member, p.handleSighting)
	do.MustInvoke[*signalListener](i).gossip = p.gossip
	do.MustInvoke[*capTables](i).connect(p.queue)
	p.crashes = quarantines.New(
		quarantineConfig(s.Recovery),
		platform.NewCrashes(do.MustInvoke[*storeClient](i).http, s.Gateway.Store), member, p.gossip,
		quarantines.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	do.MustInvoke[*crashTables](i).node = p.crashes
	return p, nil
}
