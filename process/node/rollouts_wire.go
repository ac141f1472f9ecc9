package node

import (
	"expvar"
	"net/http"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// rolloutTables passes the rows of the store's tables to the rollouts component. It may be created before that component.
type rolloutTables struct {
	node *rollouts.Node // nil without rollouts
	log  logrus.FieldLogger
}

// setOrders passes on the rollout orders in the operator's table.
func (t *rolloutTables) setOrders(now time.Time, rows watch.Rows) {
	if t.node == nil {
		return
	}
	var orders []rollout.Order
	for key, row := range rows {
		order, ok, err := platform.DecodeRolloutOrder(key, row)
		if err != nil {
			t.log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
		}
		if ok {
			orders = append(orders, order)
		}
	}
	t.node.SetOrders(now, orders)
}

// setRecords passes on the rollout records.
func (t *rolloutTables) setRecords(now time.Time, rows watch.Rows) {
	var records []rollout.Row
	for key, row := range rows {
		record, err := platform.DecodeRolloutRecord(key, row)
		if err != nil {
			t.log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
			continue
		}
		records = append(records, record)
	}
	t.node.SetRecords(now, records)
}

// setUpstreams passes on the list of upstreams.
func (t *rolloutTables) setUpstreams(now time.Time, upstreams []vaneyoke.Upstream) {
	if t.node != nil {
		t.node.SetUpstreams(now, upstreams)
	}
}

func provideRolloutTables(i do.Injector) (*rolloutTables, error) {
	return &rolloutTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// provideRollouts returns the rollouts component, or nil if the exposure in the settings is 0.
func provideRollouts(i do.Injector) (*rollouts.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	if s.Rollout.Exposure == 0 {
		return nil, nil
	}
	node := rollouts.New(
		vaneyoke.VMID(s.Node.VM),
		rollout.Config{Exposure: s.Rollout.Exposure, Hold: s.Rollout.Hold},
		platform.NewRollouts(do.MustInvoke[*storeClient](i).http, s.Gateway.Store),
		do.MustInvoke[*mesh.Node](i),
		do.MustInvoke[*balancer.Balancer](i),
		newReportClient(s.Limits),
		rollouts.NewMetrics(do.MustInvoke[*expvar.Map](i)),
		do.MustInvoke[logrus.FieldLogger](i),
	)
	do.MustInvoke[*rolloutTables](i).node = node
	return node, nil
}

// newReportClient returns the HTTP client for reports to the parent node. It keeps connections open, because reports are sent
// several times a second.
func newReportClient(limits settings.Limits) *http.Client {
	client := newPeerClient(limits)
	client.Transport.(*http.Transport).DisableKeepAlives = false
	return client
}
