package node

import (
	"expvar"
	"net"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/tunnels"
)

// Option changes how a node is assembled.
type Option func(do.Injector)

// WithUpstreamDialer replaces the dialer that opens connections to upstreams, for tests of partitions.
func WithUpstreamDialer(dialer tunnels.NetDialer) Option {
	return func(i do.Injector) { do.OverrideValue(i, dialer) }
}

func provideNetDialer(i do.Injector) (tunnels.NetDialer, error) {
	timeout := do.MustInvoke[settings.Settings](i).Gateway.DialWait
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: upstreamKeepAlive}, nil
}

func provideDialer(i do.Injector) (*tunnels.Dialer, error) {
	vars := do.MustInvoke[*expvar.Map](i)
	dialer := tunnels.NewDialer(do.MustInvoke[tunnels.NetDialer](i), tunnels.NewMetrics(vars), do.MustInvoke[logrus.FieldLogger](i))
	vars.Set("paths", expvar.Func(func() any { return dialer.Summary() }))
	return dialer, nil
}

// upstreamsByAddress returns the ids of upstreams by their addresses.
func upstreamsByAddress(upstreams []vaneyoke.Upstream) map[string]vaneyoke.UpstreamID {
	return lo.SliceToMap(upstreams, func(u vaneyoke.Upstream) (string, vaneyoke.UpstreamID) { return u.Address(), u.ID })
}
