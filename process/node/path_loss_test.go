package node

import (
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/internal/background"
	"github.com/vaneyoke/vaneyoke/internal/cutline"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/detours"
)

// TestLossesOverALostPathCountAgainstTheUpstream checks that what a node loses is reported, to gossip and rollouts, unless only its own path was lost.
func TestLossesOverALostPathCountAgainstTheUpstream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	up := listener.Addr().String()
	cases := map[string]struct {
		cut, hasHelper bool
		reported       bool
	}{
		"path in use":          {false, true, true},
		"path lost":            {true, true, false},
		"lost, without helper": {true, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			link := cutline.New(&net.Dialer{Timeout: 50 * time.Millisecond})
			dialer := newTestDialer("node", up, link)
			helper := httptest.NewServer(detours.NewServer(newTestDialer("helper", up, cutline.New(&net.Dialer{})), 1, new(expvar.Map).Init(), logrus.New()))
			t.Cleanup(helper.Close)
			if tc.hasHelper {
				dialer.SetMembers([]feed.Member{{VM: "helper", Address: strings.TrimPrefix(helper.URL, "http://"), Protocol: feed.ProtocolDetours}})
			}
			if tc.cut {
				link.Cut(cutline.Silent, func(string) bool { return true })
			}
			reported := make(chan struct{}, 1)
			p := &gatewayPlacer{Balancer: newBalancer(settings.Settings{}), dialer: dialer, checks: background.New(1, pathCheckTimeout)}
			p.unlessPathLost(vaneyoke.Upstream{ID: "up", URL: "http://" + up}, func() { reported <- struct{}{} })
			select {
			case <-reported:
				must.True(t, tc.reported)
			case <-time.After(pathCheckTimeout):
				must.False(t, tc.reported)
			}
		})
	}
}

func newTestDialer(vm vaneyoke.VMID, upstream string, link *cutline.Dialer) *detours.Dialer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := detours.NewDialer(vm, overlay.New("a", rand.New(rand.NewPCG(1, 1))), link, detours.NewMetrics(new(expvar.Map).Init()), log)
	d.SetUpstreams(map[string]vaneyoke.UpstreamID{upstream: "up"})
	return d
}
