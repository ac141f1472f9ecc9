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
	"github.com/vaneyoke/vaneyoke/api/gateway"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/shell/duties"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/pins"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
	"github.com/vaneyoke/vaneyoke/shell/shares"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// BuildGateway assembles a node that serves opaque requests from its settings.
func BuildGateway(s settings.Settings, log logrus.FieldLogger, options ...Option) (*GatewayNode, error) {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.ProvideValue(i, new(expvar.Map).Init())
	do.Provide(i, provideTracing)
	do.Provide(i, provideBalancer)
	do.Provide(i, provideStoreClient)
	do.Provide(i, provideNetDialer)
	do.Provide(i, providePacketListener)
	do.Provide(i, provideDialer)
	do.Provide(i, provideDetourServer)
	do.Provide(i, provideActiveConfig)
	do.Provide(i, provideMesh)
	do.Provide(i, provideLender)
	do.Provide(i, provideRolloutTables)
	do.Provide(i, provideRollouts)
	do.Provide(i, provideCrashTables)
	do.Provide(i, provideLimitTables)
	do.Provide(i, provideCapTables)
	do.Provide(i, provideLimits)
	do.Provide(i, provideShares)
	do.Provide(i, providePushbacks)
	do.Provide(i, provideSignalListener)
	do.Provide(i, provideDutyTables)
	do.Provide(i, provideDuties)
	do.Provide(i, provideCallers)
	do.Provide(i, provideQueue)
	do.Provide(i, provideVersionTables)
	do.Provide(i, providePins)
	do.Provide(i, providePlacer)
	do.Provide(i, provideForwarder)
	do.Provide(i, provideGateway)
	do.Provide(i, provideGatewayNode)
	do.ProvideValue(i, &plannedChanges{})
	for _, option := range options {
		option(i)
	}
	return do.Invoke[*GatewayNode](i)
}

// upstreamKeepAlive detects an upstream that disappeared without closing its connections while a request waits for its answer. The
// operating system takes whole seconds only.
var upstreamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// peerDialTimeout bounds the wait for a connection to another node.
const peerDialTimeout = 200 * time.Millisecond

// storeClient is the HTTP client for the store.
type storeClient struct{ http *http.Client }

func provideStoreClient(i do.Injector) (*storeClient, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := newTransport(do.MustInvoke[settings.Settings](i).Limits, dialer.DialContext)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 2, idleTimeout
	total := new(expvar.Map).Init()
	do.MustInvoke[*expvar.Map](i).Set("store_calls_total", total)
	return &storeClient{http: &http.Client{Transport: &storeCallCounter{next: httpcheck.NewTransport(transport), total: total}}}, nil
}

func provideActiveConfig(i do.Injector) (*activeConfig, error) {
	active := newActiveConfig(do.MustInvoke[*balancer.Balancer](i), do.MustInvoke[*plannedChanges](i), do.MustInvoke[logrus.FieldLogger](i))
	do.MustInvoke[*expvar.Map](i).Set("configuration_version", expvar.Func(func() any { return active.version() }))
	return active, nil
}

func provideForwarder(i do.Injector) (*relay.Relay, error) {
	s := do.MustInvoke[settings.Settings](i)
	placer := do.MustInvoke[*gatewayPlacer](i)
	r := relay.New(
		nil,
		platform.NewSender(do.MustInvoke[*detours.Dialer](i), do.MustInvoke[*signalListener](i), platform.Bounds{HeadBytes: s.Limits.HeadBytes, AnswerBytes: s.Limits.MaxAnswerBytes()}),
		placer,
		do.MustInvoke[*telemetry.Tracing](i).Tracer,
		relay.NewMetrics(do.MustInvoke[*expvar.Map](i)),
		do.MustInvoke[logrus.FieldLogger](i),
		relayConfig(s),
	)
	placer.crashes.OnBlock(r.Quarantine)
	do.MustInvoke[*expvar.Map](i).Set("buffered_bytes", expvar.Func(func() any { return r.BufferedBytes() }))
	return r, nil
}

func provideGateway(i do.Injector) (*gateway.Gateway, error) {
	s := do.MustInvoke[settings.Settings](i)
	config := gateway.Config{MaxBodyBytes: s.Limits.BodyBytes, MaxWait: s.Gateway.MaxWait, WriteTimeout: s.Limits.WriteTimeout}
	return gateway.New(
		config, platform.Codec{}, do.MustInvoke[*activeConfig](i), do.MustInvoke[*relay.Relay](i), do.MustInvoke[*pins.Node](i),
		gateway.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	), nil
}

func provideGatewayNode(i do.Injector) (*GatewayNode, error) {
	s := do.MustInvoke[settings.Settings](i)
	return &GatewayNode{
		settings: s,
		gateway:  do.MustInvoke[*gateway.Gateway](i),
		relay:    do.MustInvoke[*relay.Relay](i),
		mesh:     do.MustInvoke[*mesh.Node](i),
		lender:   do.MustInvoke[*mesh.Lender](i),
		rollouts: do.MustInvoke[*rollouts.Node](i),
		crashes:  do.MustInvoke[*gatewayPlacer](i).crashes,
		limits:   do.MustInvoke[*ratelimits.Node](i),
		duties:   do.MustInvoke[*duties.Node](i),
		shares:   do.MustInvoke[*shares.Node](i),
		detours:  do.MustInvoke[*detours.Server](i),
		pins:     do.MustInvoke[*pins.Node](i),
		versions: do.MustInvoke[*versionTables](i).versions,
		active:   do.MustInvoke[*activeConfig](i),
		vars:     do.MustInvoke[*expvar.Map](i),
		panics:   newPanicRecorder(do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)),
		aborts:   newAbortRecorder(do.MustInvoke[*expvar.Map](i), do.MustInvoke[*plannedChanges](i), do.MustInvoke[logrus.FieldLogger](i)),
		evicted:  newEvictionRecorder(do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)),
		changes:  do.MustInvoke[*plannedChanges](i),
		tracing:  do.MustInvoke[*telemetry.Tracing](i),
		log:      do.MustInvoke[logrus.FieldLogger](i),
	}, nil
}

func provideMesh(i do.Injector) (*mesh.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	client := do.MustInvoke[*storeClient](i).http
	active := do.MustInvoke[*activeConfig](i)
	config := mesh.DefaultConfig().InForceWithin(s.Gateway.InForceWithin)
	config.SingleNode.PollWait = s.Gateway.PollWait
	if s.Gateway.FirstStart {
		config = config.AtFirstStart()
	}
	config.SingleNode = config.SingleNode.RecoverWithin(s.Gateway.RecoverWithin)
	config.Reader = config.Reader.RecoverWithin(s.Gateway.RecoverWithin)
	if s.Gateway.Peers == "" {
		config.Feed.MemberWait, config.Feed.MaxCandidates = 0, 0 // it follows no other node
	}
	members := platform.NewMembers(client, s.Gateway.Store)
	rolloutUpdates := do.MustInvoke[*rolloutTables](i)
	active.rollouts = rolloutUpdates
	limitUpdates := do.MustInvoke[*limitTables](i)
	active.limits = limitUpdates
	active.duties = do.MustInvoke[*dutyTables](i)
	active.versions = do.MustInvoke[*versionTables](i)
	active.dialer = do.MustInvoke[*detours.Dialer](i)
	active.queue = newQueueModes(do.MustInvoke[*admissions.Node](i), s.Admission.Mode)
	self := feed.Member{VM: vaneyoke.VMID(s.Node.VM), DataCentre: vaneyoke.DataCentreID(s.Node.DataCentre), Address: s.Gateway.Peers, Bandwidth: s.Node.Bandwidth, Protocol: feed.ProtocolCurrent}
	var node *mesh.Node
	tables := map[string]mesh.Table{
		"routes":    {Source: platform.NewConfig(client, s.Gateway.Store), Apply: active.setRoutes},
		"crashes":   {Source: platform.NewCrashes(client, s.Gateway.Store), MayLag: true, Optional: true, Apply: do.MustInvoke[*crashTables](i).setRows},
		"upstreams": {Source: platform.NewEngines(client, s.Gateway.Store), Apply: active.setUpstreams, Grace: removalGrace(s.Gateway)},
		"members": {Source: members, MayLag: true, Apply: func(_ time.Time, rows watch.Rows) {
			node.SetMembers(mesh.DecodeMembers(rows))
			limitUpdates.setMembers(node.Registered())
			active.dialer.SetMembers(node.Registered())
			active.versions.setMembers(node.Registered())
			active.pins.SetMembers(pinMembers(node.Registered()))
			active.balancer.SetFleet(fleetOf(self.VM, node.Registered()))
			active.balancer.SetRetryBurst(fleetBudgetConfig(s.Retry, node.Members()).Burst)
		}},
	}
	tables["limits"] = mesh.Table{Source: platform.NewLimits(client, s.Gateway.Store), MayLag: true, Optional: true, Apply: limitUpdates.setRows}
	tables["versions"] = mesh.Table{Source: platform.NewServiceVersions(client, s.Gateway.Store), MayLag: true, Optional: true, Apply: active.versions.setRows}
	tables["caps"] = mesh.Table{Source: platform.NewCaps(client, s.Gateway.Store), MayLag: true, Optional: true, Apply: do.MustInvoke[*capTables](i).setRows}
	if s.Rollout.Exposure > 0 {
		tables["rollouts"] = mesh.Table{Source: platform.NewRollouts(client, s.Gateway.Store), MayLag: true, Apply: rolloutUpdates.setRecords}
	}
	hub := mesh.NewHub(tables)
	hub.SetLog(do.MustInvoke[logrus.FieldLogger](i))
	vars := do.MustInvoke[*expvar.Map](i)
	vars.Set("build", expvar.Func(func() any { return vaneyoke.Build() }))
	vars.Set("speaks", expvar.Func(func() any { return feed.ProtocolCurrent }))
	config.ListenPacket = do.MustInvoke[mesh.PacketListener](i)
	node = mesh.New(self, config, hub, members, newPeerClient(s.Limits), mesh.NewMetrics(vars), do.MustInvoke[logrus.FieldLogger](i))
	vars.Set("upstreams", expvar.Func(func() any { return countUpstreams(active.balancer.Loads()) }))
	vars.Set("services_spread", expvar.Func(func() any { return active.balancer.Spread() }))
	vars.Set("upstreams_failing", expvar.Func(func() any { return failingUpstreams(active.balancer.Loads()) }))
	vars.Set("retries_left", expvar.Func(func() any { return active.balancer.RetriesLeft() }))
	vars.Set("memory_bytes", expvar.Func(func() any { return memoryBytes() }))
	vars.Set("members", expvar.Func(func() any { return node.Members() }))
	vars.Set("tables_age_ms", expvar.Func(func() any { return hub.Status(steady.Now()).Age.Milliseconds() }))
	return node, nil
}

func provideLender(i do.Injector) (*mesh.Lender, error) {
	return mesh.NewLender(do.MustInvoke[*mesh.Node](i), do.MustInvoke[*balancer.Balancer](i).Lend), nil
}

// removalGraceShare bounds the removal grace, as a share of the time within which a leaving upstream must be drained.
const removalGraceShare = 0.8

// removalGrace returns how long upstreams stay in use whose entries expired during an outage of the store.
func removalGrace(s settings.Gateway) time.Duration {
	return min(s.RemovalGrace, time.Duration(removalGraceShare*float64(s.DrainWithin)))
}

// newPeerClient returns the HTTP client for other nodes. It has no timeout, because responses are endless streams.
func newPeerClient(limits settings.Limits) *http.Client {
	return newClientFor(limits, peerDialTimeout, 0)
}

func newBalancer(s settings.Settings) *balancer.Balancer {
	state := placement.New(vaneyoke.DataCentreID(s.Node.DataCentre), breakerConfig(s.Retry))
	state.SetSpread(spreads[s.Placement.Spread])
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return balancer.New(state, fleetBudgetConfig(s.Retry, defaultFleetSize), rng)
}
