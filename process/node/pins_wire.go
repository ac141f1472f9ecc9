package node

import (
	"expvar"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
)

// pinListing tells the software versions that a node has seen listed.
type pinListing struct {
	balancer *balancer.Balancer
	mesh     *mesh.Node
}

// Software returns the versions of services' upstreams, and for how long they have been watched; 0 while the node's tables are stale.
func (l pinListing) Software(services []vaneyoke.ServiceID) ([]pinning.Software, time.Duration) {
	all, watched := l.balancer.Software(services)
	if l.mesh.Stale() {
		return all, 0
	}
	return all, watched
}

// providePins returns the component that keeps which software began streams.
func providePins(i do.Injector) (*pins.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	member := do.MustInvoke[*mesh.Node](i)
	self := pinning.Member{
		VM: vaneyoke.VMID(s.Node.VM), DataCentre: vaneyoke.DataCentreID(s.Node.DataCentre), Address: s.Gateway.Peers,
		Incarnation: vaneyoke.Incarnation(time.Now().UnixMilli()), //nolint:gosec // after 1970
	}
	node := pins.New(
		self, pinListing{do.MustInvoke[*balancer.Balancer](i), member}, member, pins.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	member.OnPins(node.HandleDatagram)
	do.MustInvoke[*activeConfig](i).pins = node
	return node, nil
}

// pinMembers returns the members whose builds keep records of streams.
func pinMembers(members []feed.Member) []pinning.Member {
	return lo.FilterMap(members, func(m feed.Member, _ int) (pinning.Member, bool) {
		return pinning.Member{VM: m.VM, DataCentre: m.DataCentre, Address: m.Address}, m.Protocol >= feed.ProtocolPins
	})
}
