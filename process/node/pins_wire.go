package node

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// completeCoverage is the coverage of a record in the store that lacks no version.
const completeCoverage = 24 * time.Hour

// pinListing tells which software versions may have begun streams.
type pinListing struct {
	balancer *balancer.Balancer
	mesh     *mesh.Node
	tables   *versionTables
}

// Software returns the versions that may have begun streams of services, and for how long before now these are known to be all: by the store's record where
// that lacks none, otherwise for as long as this node has watched the list of upstreams; 0 while its tables are stale.
func (l pinListing) Software(services []vaneyoke.ServiceID) (all []pinning.Software, coverage time.Duration) {
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

// versionTables passes the rows of the store's tables to the component that records versions. It may be created before that component.
type versionTables struct {
	versions    *pins.Versions
	retention   func() time.Duration
	earlierSeen atomic.Pointer[time.Time] // when nodes were last registered whose builds begin streams without a record; nil for never
	log         logrus.FieldLogger
}

// setMembers notes whether earlier builds are registered.
func (t *versionTables) setMembers(members []feed.Member) {
	if slices.ContainsFunc(members, func(m feed.Member) bool { return m.Protocol < feed.ProtocolRecords }) {
		t.earlierSeen.Store(new(time.Now()))
	}
}

// hasEarlierBuilds reports whether callers may come back for streams that earlier builds began without a record.
func (t *versionTables) hasEarlierBuilds(now time.Time) bool {
	seen := t.earlierSeen.Load()
	return seen != nil && now.Sub(*seen) < t.retention()
}

// setRows passes on the rows of the versions table.
func (t *versionTables) setRows(_ time.Time, rows watch.Rows) {
	t.versions.SetRows(readRows(rows, t.log, platform.DecodeServiceVersions))
}

// setUpstreams passes on the list of upstreams.
func (t *versionTables) setUpstreams(upstreams []vaneyoke.Upstream) {
	t.versions.SetUpstreams(upstreams)
}

// setServices passes on the services that have streams.
func (t *versionTables) setServices(table *route.Table) {
	t.versions.SetServices(lo.Keys(table.StreamServices()))
}

func provideVersionTables(i do.Injector) (*versionTables, error) {
	return &versionTables{log: do.MustInvoke[logrus.FieldLogger](i)}, nil
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
	tables.retention = func() time.Duration { return retention(s.Gateway, active) }
	listing := pinListing{balancer: do.MustInvoke[*balancer.Balancer](i), mesh: member, tables: tables}
	node := pins.New(self, listing, member, platform.NewStreamRecords(client, s.Gateway.Store, self.VM), pins.NewMetrics(do.MustInvoke[*expvar.Map](i)), log)
	tables.versions = pins.NewVersions(
		platform.NewServiceVersions(client, s.Gateway.Store), member, versionsConfig(member, tables), do.MustInvoke[*balancer.Balancer](i), node.SetMixed, log,
	)
	member.OnPins(node.HandleDatagram)
	active.pins = node
	return node, nil
}

// retentionFactor is how many times the longest stream a version is remembered after its last upstream has left, since a configuration may allow longer ones.
const retentionFactor = 2

// retention returns for how long callers may come back for a stream.
func retention(s settings.Gateway, active *activeConfig) time.Duration {
	if table := active.Routes(); table != nil {
		return retentionFactor * table.LongestStream(s.MaxWait)
	}
	return retentionFactor * s.MaxWait
}

// versionsConfig returns the delays of the record of versions, which depend on the fleet and its routes.
func versionsConfig(member *mesh.Node, tables *versionTables) func() pinning.VersionsConfig {
	startedAt := time.Now()
	return func() pinning.VersionsConfig {
		now := time.Now()
		return pinning.VersionsConfig{
			AdmissionDelay: pinning.AdmissionDelay(member.Members()), Retention: tables.retention(), Uptime: now.Sub(startedAt),
			NoEarlierBuilds: !tables.hasEarlierBuilds(now),
		}
	}
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
