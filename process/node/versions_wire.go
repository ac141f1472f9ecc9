package node

import (
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
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// versionTables passes the rows of the store's tables to the component that records versions. It may be created before that component.
type versionTables struct {
	versions    *pins.Versions
	node        *pins.Node
	active      *activeConfig
	maxWait     time.Duration             // of an answer whose route states none
	startedAt   time.Time                 // of this process
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
	t.node.VersionsKnown()
}

// setUpstreams passes on the list of upstreams.
func (t *versionTables) setUpstreams(upstreams []vaneyoke.Upstream) {
	t.versions.SetUpstreams(upstreams)
}

// setRoutes passes on the services to which the routes of streams lead.
func (t *versionTables) setRoutes(table *route.Table) {
	t.versions.SetRoutes(lo.MapKeys(table.StreamTargets(), func(_ []vaneyoke.ServiceID, name string) pinning.RouteName { return pinning.RouteName(name) }))
}

func provideVersionTables(i do.Injector) (*versionTables, error) {
	return &versionTables{
		active: do.MustInvoke[*activeConfig](i), maxWait: do.MustInvoke[settings.Settings](i).Gateway.MaxWait, startedAt: time.Now(), log: do.MustInvoke[logrus.FieldLogger](i),
	}, nil
}

// retentionFactor is how many times the longest stream a version is remembered after its last upstream has left, since a configuration may allow longer ones.
const retentionFactor = 2

// retention returns for how long callers may come back for a stream.
func (t *versionTables) retention() time.Duration {
	if table := t.active.Routes(); table != nil {
		return retentionFactor * table.LongestStream(t.maxWait)
	}
	return retentionFactor * t.maxWait
}

// config returns the delays of the record of versions, which depend on the fleet and its routes.
func (t *versionTables) config(member *mesh.Node) pinning.VersionsConfig {
	now := time.Now()
	return pinning.VersionsConfig{
		AdmissionDelay: pinning.AdmissionDelay(member.Members()), Retention: t.retention(), Uptime: now.Sub(t.startedAt),
		NoEarlierBuilds: !t.hasEarlierBuilds(now),
	}
}

// connect creates the component, once those that it reads and tells exist.
func (t *versionTables) connect(store pins.VersionStore, member *mesh.Node, listener pins.StageListener, node *pins.Node) {
	t.node = node
	t.versions = pins.NewVersions(store, member, func() pinning.VersionsConfig { return t.config(member) }, listener, node.SetMixed, t.log)
}
