package node

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
)

// completeCoverage is the coverage of a record in the store that lacks no version.
const completeCoverage = 24 * time.Hour

// pinListing tells which software versions may have begun streams.
type pinListing struct {
	balancer *balancer.Balancer
	mesh     *mesh.Node
	tables   *versionTables
}

// Software returns the versions that may have begun streams of a route to services, and for how long before now these are known to be all: by the store's record
// where that lacks none, otherwise for as long as this node has watched the list of upstreams; 0 while its tables are stale.
func (l pinListing) Software(services []vaneyoke.ServiceID) (all []pinning.Software, coverage time.Duration) {
	services = slices.Concat(services, l.tables.versions.Former(services))
	listed, watched := l.balancer.Software(services)
	coverage = completeCoverage
	for _, service := range services {
		versions, isComplete := l.tables.versions.Candidates(service)
		all = append(all, lo.Map(versions, func(v vaneyoke.SoftwareVersion, _ int) pinning.Software {
			return pinning.Software{Service: service, Version: v}
		})...)
		if !isComplete || l.tables.hasEarlierBuilds(time.Now()) {
			coverage = min(coverage, watched)
			all = append(all, lo.Filter(listed, func(s pinning.Software, _ int) bool { return s.Service == service })...)
		}
	}
	if l.mesh.Stale() {
		coverage = 0
	}
	return lo.Uniq(all), coverage
}

// providePins returns the component that keeps which software began streams.
func providePins(i do.Injector) (*pins.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	member, active := do.MustInvoke[*mesh.Node](i), do.MustInvoke[*activeConfig](i)
	client, log := do.MustInvoke[*storeClient](i).http, do.MustInvoke[logrus.FieldLogger](i)
	self := pinning.Member{
		VM: vaneyoke.VMID(s.Node.VM), DataCentre: vaneyoke.DataCentreID(s.Node.DataCentre), Address: s.Gateway.Peers,
		Incarnation: vaneyoke.Incarnation(time.Now().UnixMilli()), //nolint:gosec // after 1970
	}
	tables := do.MustInvoke[*versionTables](i)
	listing := pinListing{balancer: do.MustInvoke[*balancer.Balancer](i), mesh: member, tables: tables}
	node := pins.New(self, listing, member, platform.NewStreamRecords(client, s.Gateway.Store, self.VM), pins.NewMetrics(do.MustInvoke[*expvar.Map](i)), log)
	tables.connect(platform.NewServiceVersions(client, s.Gateway.Store), member, do.MustInvoke[*balancer.Balancer](i), node)
	member.OnPins(node.HandleDatagram)
	active.pins = node
	return node, nil
}

// runPins drops what others left behind, on the node of the highest rank.
func runPins(ctx context.Context, node *pins.Node, member *mesh.Node) {
	node.Run(ctx, member.IsFirstByRank)
}

// pinMembers returns the members whose builds keep records of streams.
func pinMembers(members []feed.Member) []pinning.Member {
	return lo.FilterMap(members, func(m feed.Member, _ int) (pinning.Member, bool) {
		return pinning.Member{VM: m.VM, DataCentre: m.DataCentre, Address: m.Address}, m.Protocol >= feed.ProtocolPins
	})
}
