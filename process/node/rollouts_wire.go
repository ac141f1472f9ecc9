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

// rolloutTables gives a node's part in roll-outs what the store holds of them; it may stand before that part does.
type rolloutTables struct {
	node *rollouts.Node // nil where there are no roll-outs
	log  logrus.FieldLogger
}

// setOrders takes in the operator's table.
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

// setRecords takes in the records.
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

// setUpstreams takes in the list of upstreams.
func (t *rolloutTables) setUpstreams(now time.Time, all []vaneyoke.Upstream) {
	if t.node != nil {
		t.node.SetUpstreams(now, all)
	}
}

func provideRolloutTables(i do.Injector) (*rolloutTables, error) {
	return &rolloutTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// provideRollouts returns the node's part in roll-outs, nil where the settings name no exposure.
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
		newReportClient(),
		rollouts.NewMetrics(do.MustInvoke[*expvar.Map](i)),
		do.MustInvoke[logrus.FieldLogger](i),
	)
	do.MustInvoke[*rolloutTables](i).node = node
	return node, nil
}

// newReportClient returns the HTTP client for reports to the node above, which come several times a second.
func newReportClient() *http.Client {
	client := newPeerClient()
	client.Transport.(*http.Transport).DisableKeepAlives = false
	return client
}
