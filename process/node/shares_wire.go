package node

import (
	"expvar"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/shares"
)

// demandSource counts the demand at this node, and uses the totals of the fleet.
type demandSource interface {
	Active() bool
	Demands(now time.Time) []share.Demand
	UpdateShares(totals share.Totals)
}

// noDemands is the source of a node that ranks no service: it counts nothing, and its node only forwards the summaries of others.
type noDemands struct{}

// Active reports that nothing is counted.
func (noDemands) Active() bool { return false }

// Demands returns nothing.
func (noDemands) Demands(time.Time) []share.Demand { return nil }

// UpdateShares ignores the totals.
func (noDemands) UpdateShares(share.Totals) {}

func provideDemandSource(do.Injector) (demandSource, error) { return noDemands{}, nil }

// provideShares returns the component that adds up the demand of all nodes, or nil if the node has no address for other nodes.
func provideShares(i do.Injector) (*shares.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	if s.Gateway.Peers == "" {
		return nil, nil
	}
	member := do.MustInvoke[*mesh.Node](i)
	node := shares.New(
		vaneyoke.VMID(s.Node.VM), member, do.MustInvoke[demandSource](i), shares.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	member.OnShares(node.HandleDatagram)
	member.OnTree(node.SetTree)
	return node, nil
}
