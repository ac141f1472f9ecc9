package node

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/decide/usage"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// dutyTables passes the rows of the store's tables to the duties component. It may be created before that component.
type dutyTables struct {
	node *duties.Node // nil without duties
	log  logrus.FieldLogger
}

// setScalingConfigs passes on the scaling configurations in the operator's table.
func (t *dutyTables) setScalingConfigs(now time.Time, rows watch.Rows) {
	if t.node == nil {
		return
	}
	for key, row := range rows {
		configs, ok, err := platform.DecodeScalingConfigs(key, row.Data)
		if err != nil {
			t.log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
		}
		if ok && err == nil {
			t.node.SetScalingConfigs(now, configs)
		}
	}
}

// setUpstreams passes on the list of upstreams.
func (t *dutyTables) setUpstreams(now time.Time, upstreams []vaneyoke.Upstream) {
	if t.node != nil {
		t.node.SetUpstreams(now, upstreams)
	}
}

func provideDutyTables(i do.Injector) (*dutyTables, error) {
	return &dutyTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// leaseCallDivisor sets the timeout of a lease call: the TTL of the lease divided by it.
const leaseCallDivisor = 4

// provideDuties returns the duties component, or nil if the settings contain no address for the calls of duties.
func provideDuties(i do.Injector) (*duties.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	if s.Duties.Platform == "" {
		return nil, nil
	}
	vm, client := vaneyoke.VMID(s.Node.VM), do.MustInvoke[*storeClient](i).http
	node := duties.New(
		vm, vaneyoke.Incarnation(rand.Uint64()), dutyConfig(s.Duties),
		platform.NewLeases(client, s.Gateway.Store), platform.NewUsage(client, s.Gateway.Store), platform.NewDutyClient(newClientFor(s.Limits, dialTimeout, idleTimeout), s.Duties.Platform, vm),
		do.MustInvoke[*mesh.Node](i), newReportClient(s.Limits), duties.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	do.MustInvoke[*dutyTables](i).node = node
	return node, nil
}

func dutyConfig(s settings.Duties) duties.Config {
	config := duties.Config{
		Lease: lease.Config{TTL: s.Lease, CallTimeout: s.Lease / leaseCallDivisor},
		Usage: usage.Config{WindowLength: s.Window, ReportDeadline: s.ReportDeadline},
	}
	if !s.Fencing {
		config.Lease.TakeoverDelay = s.Lease
	}
	return config
}

// CountRequest counts a request that an upstream started to run.
func (b *gatewayPlacer) CountRequest(workspace vaneyoke.WorkspaceID) {
	if b.duties != nil {
		b.duties.CountRequest(workspace)
	}
}

// AddLoad adds the load that an attempt put on an upstream of a service.
func (b *gatewayPlacer) AddLoad(service vaneyoke.ServiceID, load capacity.Load) {
	if b.duties != nil {
		b.duties.AddLoad(service, load)
	}
}
