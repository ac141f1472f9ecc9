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

// limitTables passes the rows of the store's tables to the rate-limit component. It may be created before that component.
type limitTables struct {
	node *ratelimits.Node
	log  logrus.FieldLogger
}

// setRows passes on the rows of the limits table.
func (t *limitTables) setRows(_ time.Time, rows watch.Rows) {
	t.node.SetRows(readRows(rows, t.log, platform.DecodeLimit))
}

// setMembers passes on the members of the fleet.
func (t *limitTables) setMembers(members []feed.Member) {
	t.node.SetMembers(lo.Map(members, func(m feed.Member, _ int) ratelimit.Member {
		return ratelimit.Member{VM: m.VM, DataCentre: m.DataCentre, SupportsLimits: m.Protocol >= feed.ProtocolLimits}
	}))
}

// setUpstreams passes on the list of upstreams.
func (t *limitTables) setUpstreams(upstreams []vaneyoke.Upstream) { t.node.SetUpstreams(upstreams) }

func provideLimitTables(i do.Injector) (*limitTables, error) {
	return &limitTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
}

// provideLimits returns the component that enforces the limits that upstreams declare. A node without a peer address enforces them alone.
func provideLimits(i do.Injector) (*ratelimits.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	member := do.MustInvoke[*mesh.Node](i)
	vm, dataCentre := vaneyoke.VMID(s.Node.VM), vaneyoke.DataCentreID(s.Node.DataCentre)
	limits := ratelimits.New(
		vm, dataCentre, member, platform.NewLimits(do.MustInvoke[*storeClient](i).http, s.Gateway.Store), do.MustInvoke[*balancer.Balancer](i).SetLimit,
		ratelimits.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	member.OnLimits(limits.HandleMessage)
	member.OnNeighbours(limits.SetNeighbours)
	do.MustInvoke[*limitTables](i).node = limits
	if s.Gateway.Peers == "" {
		limits.SetMembers([]ratelimit.Member{{VM: vm, DataCentre: dataCentre, SupportsLimits: true}})
	}
	return limits, nil
}
