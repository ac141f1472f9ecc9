package node

import (
	"expvar"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// limitTables gives a node's part in keeping limits what the store's tables hold; it may stand before that part does.
type limitTables struct {
	node *ratelimits.Node
	log  logrus.FieldLogger
}

// setRows takes in the store's rows.
func (t *limitTables) setRows(_ time.Time, rows watch.Rows) {
	t.node.SetRows(readRows(rows, t.log, platform.DecodeLimit))
}

// setMembers takes in the members of the fleet.
func (t *limitTables) setMembers(all []feed.Member) {
	t.node.SetMembers(lo.Map(all, func(m feed.Member, _ int) ratelimit.Member {
		return ratelimit.Member{VM: m.VM, DataCentre: m.DataCentre, SupportsLimits: m.Protocol >= feed.ProtocolLimits}
	}))
}

// setUpstreams takes in the upstreams that are listed.
func (t *limitTables) setUpstreams(all []vaneyoke.Upstream) { t.node.SetUpstreams(all) }

func provideLimitTables(i do.Injector) (*limitTables, error) {
	return &limitTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// provideLimits returns the node's part in keeping the limits that upstreams name. One that talks to no other node keeps them alone.
func provideLimits(i do.Injector) (*ratelimits.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	member := do.MustInvoke[*mesh.Node](i)
	vm, dataCentre := vaneyoke.VMID(s.Node.VM), vaneyoke.DataCentreID(s.Node.DataCentre)
	n := ratelimits.New(
		vm, dataCentre, member, platform.NewLimits(do.MustInvoke[*storeClient](i).http, s.Gateway.Store), do.MustInvoke[*balancer.Balancer](i).SetLimit,
		ratelimits.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	member.OnLimits(n.HandleMessage)
	member.OnNeighbours(n.SetNeighbours)
	do.MustInvoke[*limitTables](i).node = n
	if s.Gateway.Peers == "" {
		n.SetMembers([]ratelimit.Member{{VM: vm, DataCentre: dataCentre, SupportsLimits: true}})
	}
	return n, nil
}
