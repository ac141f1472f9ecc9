package node

import (
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/balancer"
	"github.com/vaneyoke/vaneyoke/callerapi"
	"github.com/vaneyoke/vaneyoke/catalog"
	"github.com/vaneyoke/vaneyoke/engine"
	"github.com/vaneyoke/vaneyoke/placement"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/platform/aws"
	"github.com/vaneyoke/vaneyoke/relay"
	"github.com/vaneyoke/vaneyoke/retry"
	"github.com/vaneyoke/vaneyoke/settings"
	"github.com/vaneyoke/vaneyoke/telemetry"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 90 * time.Second
	idleConnsEach   = 256
	platformTimeout = 5 * time.Second
	bufferBytes     = 8 << 10
)

// Build puts a node's parts together from its settings; it is the only place that wires them.
func Build(s settings.Settings, log logrus.FieldLogger) (*Node, error) {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.ProvideValue(i, new(expvar.Map).Init())
	do.ProvideValue(i, new(atomic.Bool))
	do.Provide(i, provideTracing)
	do.Provide(i, provideTable)
	do.Provide(i, provideBalancer)
	do.Provide(i, provideFollower)
	do.Provide(i, provideRelay)
	do.Provide(i, provideAPI)
	do.Provide(i, provideNode)
	return do.Invoke[*Node](i)
}

func provideTracing(i do.Injector) (*telemetry.Tracing, error) {
	s := do.MustInvoke[settings.Settings](i).Trace
	return telemetry.NewTracing(s.Output, s.Ratio)
}

func provideTable(i do.Injector) (platform.Table, error) {
	s := do.MustInvoke[settings.Settings](i).Platform
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
	return aws.New(config, &http.Client{Timeout: platformTimeout}), nil
}

func provideBalancer(i do.Injector) (*balancer.Balancer, error) {
	s := do.MustInvoke[settings.Settings](i)
	state := placement.New(vaneyoke.HallID(s.Node.Hall), breakerConfig(s.Retry))
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return balancer.New(state, retry.NewBudget(budgetConfig(s.Retry)), rng), nil
}

func provideFollower(i do.Injector) (*catalog.Follower, error) {
	s := do.MustInvoke[settings.Settings](i)
	b := do.MustInvoke[*balancer.Balancer](i)
	apply := func(snapshot *catalog.Snapshot) { b.SetUpstreams(snapshot.Upstreams) }
	f := catalog.NewFollower(do.MustInvoke[platform.Table](i), s.Platform.Poll, do.MustInvoke[logrus.FieldLogger](i), apply)
	do.MustInvoke[*expvar.Map](i).Set("policy_revision", expvar.Func(func() any { return f.Current().Revision }))
	return f, nil
}

func provideRelay(i do.Injector) (*relay.Relay, error) {
	return relay.New(
		engine.New(newUpstreamClient()),
		do.MustInvoke[*balancer.Balancer](i),
		do.MustInvoke[*telemetry.Tracing](i).Tracer,
		relay.NewMetrics(do.MustInvoke[*expvar.Map](i)),
		do.MustInvoke[logrus.FieldLogger](i),
		relayConfig(do.MustInvoke[settings.Settings](i)),
	), nil
}

func provideAPI(i do.Injector) (*callerapi.API, error) {
	dir := &directory{
		follower: do.MustInvoke[*catalog.Follower](i),
		balancer: do.MustInvoke[*balancer.Balancer](i),
		stopping: do.MustInvoke[*atomic.Bool](i),
	}
	return callerapi.New(
		apiConfig(do.MustInvoke[settings.Settings](i).Limits),
		dir,
		do.MustInvoke[*relay.Relay](i),
		do.MustInvoke[*telemetry.Tracing](i).Tracer,
		do.MustInvoke[logrus.FieldLogger](i),
	), nil
}

func provideNode(i do.Injector) (*Node, error) {
	return New(
		do.MustInvoke[settings.Settings](i),
		do.MustInvoke[*callerapi.API](i),
		do.MustInvoke[*catalog.Follower](i),
		do.MustInvoke[*expvar.Map](i),
		do.MustInvoke[*telemetry.Tracing](i),
		do.MustInvoke[logrus.FieldLogger](i),
		do.MustInvoke[*atomic.Bool](i),
	), nil
}

// newUpstreamClient returns an HTTP client that neither retries nor times out a running stream.
func newUpstreamClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsEach,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}
}
