package node

import (
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/api/operatorapi"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/shell/failover"
	"github.com/vaneyoke/vaneyoke/shell/quarantines"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/peer"
	"github.com/vaneyoke/vaneyoke/wire/store/aws"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 90 * time.Second
	maxIdleConnsPerHost = 256
	platformTimeout     = 5 * time.Second
	bufferBytes         = 8 << 10
)

// Build assembles a node with the caller API from its settings.
func Build(s settings.Settings, log logrus.FieldLogger) (*Node, error) {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.ProvideValue(i, new(expvar.Map).Init())
	do.ProvideValue(i, new(atomic.Bool))
	do.ProvideValue(i, vaneyoke.NodeID{
		VM:          vaneyoke.VMID(s.Node.VM),
		Incarnation: vaneyoke.Incarnation(time.Now().UnixNano()),
	})
	do.Provide(i, provideTracing)
	do.Provide(i, provideControlClient)
	do.Provide(i, providePlatform)
	do.Provide(i, provideBalancer)
	do.Provide(i, providePeers)
	do.Provide(i, providePolicies)
	do.Provide(i, provideFollower)
	do.Provide(i, provideVMList)
	do.Provide(i, provideJournals)
	do.Provide(i, provideRelay)
	do.Provide(i, provideClaims)
	do.Provide(i, provideFailover)
	do.Provide(i, provideAPI)
	do.Provide(i, provideNode)
	return do.Invoke[*Node](i)
}

func provideTracing(i do.Injector) (*telemetry.Tracing, error) {
	s := do.MustInvoke[settings.Settings](i).Trace
	return telemetry.NewTracing(s.Output, s.Ratio)
}

func providePlatform(i do.Injector) (*aws.Client, error) {
	return newPlatform(do.MustInvoke[settings.Settings](i).Platform, do.MustInvoke[*controlClient](i).http), nil
}

// NewPlatform returns a client for the platform that the settings name.
func NewPlatform(s settings.Platform) *aws.Client {
	return newPlatform(s, &http.Client{Timeout: platformTimeout})
}

func newPlatform(s settings.Platform, client *http.Client) *aws.Client {
	config := aws.Config{
		TableURL:  s.TableURL,
		ObjectURL: s.ObjectURL,
		VMsURL:    s.VMsURL,
		Region:    s.Region,
		AccessKey: s.AccessKey,
		SecretKey: s.SecretKey,
		Table:     s.Table,
		Bucket:    s.Bucket,
	}
	return aws.New(config, client)
}

func provideBalancer(i do.Injector) (*balancer.Balancer, error) {
	return newBalancer(do.MustInvoke[settings.Settings](i)), nil
}

func provideFollower(i do.Injector) (*catalog.Follower, error) {
	s := do.MustInvoke[settings.Settings](i)
	self := catalog.Node{VM: vaneyoke.VMID(s.Node.VM), DataCentre: vaneyoke.DataCentreID(s.Node.DataCentre)}
	vms := do.MustInvoke[*vmList](i)
	vms.setFollower(catalog.NewFollower(
		self, do.MustInvoke[*aws.Client](i), vms, s.Platform.Poll, s.Platform.Fresh,
		do.MustInvoke[logrus.FieldLogger](i), do.MustInvoke[*policies](i).apply,
	))
	vars := do.MustInvoke[*expvar.Map](i)
	vars.Set("policy_revision", expvar.Func(func() any { return vms.follower.Current().Revision }))
	vars.Set("fresh", expvar.Func(func() any { return vms.follower.Fresh(steady.Now()) }))
	return vms.follower, nil
}

func providePolicies(i do.Injector) (*policies, error) {
	p := newPolicies(do.MustInvoke[*balancer.Balancer](i), do.MustInvoke[logrus.FieldLogger](i))
	do.MustInvoke[*expvar.Map](i).Set("policy_failures_total", expvar.Func(func() any { return p.set().Failures() }))
	return p, nil
}

func provideRelay(i do.Injector) (*relay.Relay, error) {
	s, vars, log := do.MustInvoke[settings.Settings](i), do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)
	crashes := quarantines.NewStandalone(quarantineConfig(s.Recovery), quarantines.NewMetrics(vars), log)
	r := relay.New(
		engine.New(newUpstreamClient(s.Limits), newSingleUseClient(s.Limits)),
		nil,
		callerPlacer{Balancer: do.MustInvoke[*balancer.Balancer](i), crashGuard: crashGuard{crashes}},
		do.MustInvoke[*telemetry.Tracing](i).Tracer,
		relay.NewMetrics(vars),
		log,
		relayConfig(s),
	)
	crashes.OnBlock(r.Quarantine)
	return r, nil
}

func provideAPI(i do.Injector) (*callerapi.API, error) {
	dir := &directory{
		follower:   do.MustInvoke[*catalog.Follower](i),
		policies:   do.MustInvoke[*policies](i),
		balancer:   do.MustInvoke[*balancer.Balancer](i),
		dataCentre: vaneyoke.DataCentreID(do.MustInvoke[settings.Settings](i).Node.DataCentre),
		stopping:   do.MustInvoke[*atomic.Bool](i),
	}
	return callerapi.New(
		apiConfig(do.MustInvoke[settings.Settings](i).Limits),
		dir,
		do.MustInvoke[*relay.Relay](i),
		do.MustInvoke[*failover.Manager](i),
		do.MustInvoke[*claims.Claims](i),
		do.MustInvoke[*telemetry.Tracing](i).Tracer,
		do.MustInvoke[logrus.FieldLogger](i),
	), nil
}

func provideVMList(i do.Injector) (*vmList, error) {
	return newVMList(
		do.MustInvoke[*aws.Client](i),
		do.MustInvoke[*peer.Client](i),
		do.MustInvoke[*balancer.Balancer](i),
		do.MustInvoke[settings.Settings](i).Platform.Poll,
		do.MustInvoke[logrus.FieldLogger](i),
	), nil
}

func providePeers(i do.Injector) (*peer.Client, error) {
	s := do.MustInvoke[settings.Settings](i)
	journals := do.MustInvoke[*peer.Journals](i)
	return peer.NewClient(do.MustInvoke[vaneyoke.NodeID](i), journals, do.MustInvoke[*controlClient](i).http, s.Peers.KeyList()[0], s.Peers.CallTimeout, do.MustInvoke[*telemetry.Tracing](i).Tracer), nil
}

func provideJournals(i do.Injector) (*peer.Journals, error) {
	s := do.MustInvoke[settings.Settings](i).Peers
	journals := peer.NewJournals(journal.New(journal.Config{MaxBytes: s.JournalBytes, Retention: s.Retention}))
	vars := do.MustInvoke[*expvar.Map](i)
	vars.Set("journal_bytes", expvar.Func(func() any { return journals.Bytes() }))
	vars.Set("journals", expvar.Func(func() any { return journals.Len() }))
	return journals, nil
}

func provideClaims(i do.Injector) (*claims.Claims, error) {
	s := do.MustInvoke[settings.Settings](i).Claims
	table := do.MustInvoke[*aws.Client](i)
	batch := claims.NewBatcher(table, s.Window, do.MustInvoke[*expvar.Map](i))
	config := claims.Config{StoreTimeout: s.Wait, SaveTimeout: s.SaveWait, SettleInterval: s.SettleEvery}
	return claims.New(do.MustInvoke[vaneyoke.NodeID](i), config, table, batch, do.MustInvoke[logrus.FieldLogger](i)), nil
}

func provideFailover(i do.Injector) (*failover.Manager, error) {
	s := do.MustInvoke[settings.Settings](i)
	keys := s.Peers.KeyList()
	return failover.New(
		do.MustInvoke[vaneyoke.NodeID](i),
		vaneyoke.DataCentreID(s.Node.DataCentre),
		failoverConfig(s.Peers),
		cursor.NewKeyring(keys...),
		do.MustInvoke[*peer.Client](i),
		do.MustInvoke[*vmList](i),
		do.MustInvoke[*relay.Relay](i),
		do.MustInvoke[*claims.Claims](i),
		failover.NewMetrics(do.MustInvoke[*expvar.Map](i)),
		do.MustInvoke[logrus.FieldLogger](i),
	), nil
}

func provideNode(i do.Injector) (*Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	manager := do.MustInvoke[*failover.Manager](i)
	follower := do.MustInvoke[*catalog.Follower](i)
	return &Node{
		settings: s,
		api:      do.MustInvoke[*callerapi.API](i),
		follower: follower,
		policies: do.MustInvoke[*policies](i),
		vmList:   do.MustInvoke[*vmList](i),
		relay:    do.MustInvoke[*relay.Relay](i),
		control:  do.MustInvoke[*controlClient](i),
		failover: manager,
		claims:   do.MustInvoke[*claims.Claims](i),
		operator: operatorapi.New(do.MustInvoke[*aws.Client](i), follower, do.MustInvoke[*balancer.Balancer](i), do.MustInvoke[logrus.FieldLogger](i)),
		peerAPI:  peer.Handler(do.MustInvoke[*peer.Journals](i), manager, follower, s.Peers.KeyList(), do.MustInvoke[*telemetry.Tracing](i).Tracer),
		vars:     do.MustInvoke[*expvar.Map](i),
		panics:   newPanicRecorder(do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)),
		evicted:  newEvictionRecorder(do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)),
		tracing:  do.MustInvoke[*telemetry.Tracing](i),
		log:      do.MustInvoke[logrus.FieldLogger](i),
		stopping: do.MustInvoke[*atomic.Bool](i),
	}, nil
}

// newSingleUseClient returns an HTTP client that opens a new connection for each request.
func newSingleUseClient(limits settings.Limits) *http.Client {
	return newClientFor(limits, dialTimeout, 0)
}

// newClientFor returns an HTTP client that keeps idle connections for a time, 0 for not at all.
func newClientFor(limits settings.Limits, dialTimeout, idleTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := newTransport(limits, dialer.DialContext)
	transport.DisableCompression, transport.DisableKeepAlives, transport.IdleConnTimeout = true, idleTimeout == 0, idleTimeout
	return &http.Client{Transport: transport}
}

// newUpstreamClient returns an HTTP client without a timeout for running streams and without retries.
func newUpstreamClient(limits settings.Limits) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := newTransport(limits, dialer.DialContext)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleConnsPerHost, idleTimeout
	transport.DisableCompression = true
	transport.ReadBufferSize, transport.WriteBufferSize = bufferBytes, bufferBytes
	return &http.Client{Transport: transport}
}
