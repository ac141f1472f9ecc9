package node

import (
	"expvar"
	"math/rand/v2"
	"net"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

// Option changes how a node is assembled.
type Option func(do.Injector)

// WithUpstreamDialer replaces the dialer that opens connections to upstreams, for tests of partitions.
func WithUpstreamDialer(dialer detours.NetDialer) Option {
	return func(i do.Injector) { do.OverrideValue(i, dialer) }
}

// WithPacketListener replaces what opens the socket for datagrams between nodes, for tests of a network that loses, repeats and delays them.
func WithPacketListener(listen mesh.PacketListener) Option {
	return func(i do.Injector) { do.OverrideValue(i, listen) }
}

func providePacketListener(do.Injector) (mesh.PacketListener, error) {
	return new(net.ListenConfig).ListenPacket, nil
}

func provideNetDialer(i do.Injector) (detours.NetDialer, error) {
	timeout := do.MustInvoke[settings.Settings](i).Gateway.DialWait
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: upstreamKeepAlive}, nil
}

func provideDialer(i do.Injector) (*detours.Dialer, error) {
	s := do.MustInvoke[settings.Settings](i)
	vars := do.MustInvoke[*expvar.Map](i)
	state := overlay.New(vaneyoke.DataCentreID(s.Node.DataCentre), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	dialer := detours.NewDialer(vaneyoke.VMID(s.Node.VM), state, do.MustInvoke[detours.NetDialer](i), detours.NewMetrics(vars), do.MustInvoke[logrus.FieldLogger](i))
	vars.Set("paths", expvar.Func(func() any { return dialer.Summary() }))
	return dialer, nil
}

func provideDetourServer(i do.Injector) (*detours.Server, error) {
	most := do.MustInvoke[settings.Settings](i).Gateway.Detours
	return detours.NewServer(do.MustInvoke[*detours.Dialer](i), most, do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)), nil
}

// upstreamsByAddress returns the ids of upstreams by their addresses.
func upstreamsByAddress(upstreams []vaneyoke.Upstream) map[string]vaneyoke.UpstreamID {
	return lo.SliceToMap(upstreams, func(u vaneyoke.Upstream) (string, vaneyoke.UpstreamID) { return u.Address(), u.ID })
}
