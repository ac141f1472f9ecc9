package node

import (
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
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

// dutyTables gives a node's part in the duties what the store's tables hold; it may stand before that part does.
type dutyTables struct {
	node *duties.Node // nil where there are no duties
	log  logrus.FieldLogger
}

// setTerms takes in the operator's table.
func (t *dutyTables) setTerms(now time.Time, rows watch.Rows) {
	if t.node == nil {
		return
	}
	for key, row := range rows {
		terms, ok, err := platform.DecodeTerms(key, row.Data)
		if err != nil {
			t.log.WithFields(logrus.Fields{"key": key, "error": err}).Error("row_unreadable")
		}
		if ok && err == nil {
			t.node.SetScalingConfigs(now, terms)
		}
	}
}

// setUpstreams takes in the list of upstreams.
func (t *dutyTables) setUpstreams(now time.Time, all []vaneyoke.Upstream) {
	if t.node != nil {
		t.node.SetUpstreams(now, all)
	}
}

func provideDutyTables(i do.Injector) (*dutyTables, error) {
	return &dutyTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// dutyWaitShare is the part of a lease's time that a call of a duty may take.
const dutyWaitShare = 4

// provideDuties returns the node's part in the duties, nil where the settings name no address that takes their calls.
func provideDuties(i do.Injector) (*duties.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	if s.Duties.Platform == "" {
		return nil, nil
	}
	vm, client := vaneyoke.VMID(s.Node.VM), do.MustInvoke[*storeClient](i).http
	node := duties.New(
		vm, vaneyoke.Incarnation(rand.Uint64()), dutyConfig(s.Duties),
		platform.NewLeases(client, s.Gateway.Store), platform.NewUsage(client, s.Gateway.Store), platform.NewDuties(newDutyClient(), s.Duties.Platform, vm),
		do.MustInvoke[*mesh.Node](i), newReportClient(), duties.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	do.MustInvoke[*dutyTables](i).node = node
	return node, nil
}

func dutyConfig(s settings.Duties) duties.Config {
	config := duties.Config{
		Lease: lease.Config{TTL: s.Lease, CallTimeout: s.Lease / dutyWaitShare},
		Usage: usage.Config{WindowLength: s.Window, ReportDeadline: s.Late},
	}
	if !s.Fencing {
		config.Lease.TakeoverDelay = s.Lease
	}
	return config
}

// newDutyClient returns the HTTP client for calls of duties.
func newDutyClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout}}
}

// CountRequest counts a request that an upstream began.
func (b *gatewayPlacer) CountRequest(workspace vaneyoke.WorkspaceID) {
	if b.duties != nil {
		b.duties.CountRequest(workspace)
	}
}

// AddLoad counts what an attempt took of a service's upstream.
func (b *gatewayPlacer) AddLoad(service vaneyoke.ServiceID, load capacity.Load) {
	if b.duties != nil {
		b.duties.AddLoad(service, load)
	}
}
