package detours_test

import (
	"bytes"
	"expvar"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/internal/cutline"
	"github.com/vaneyoke/vaneyoke/shell/detours"
)

// TestFailedDialsTellPathsApart checks that log and metrics tell a node that reaches no upstream from one that misses a single one.
func TestFailedDialsTellPathsApart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	up := listener.Addr().String()
	link := cutline.New(&net.Dialer{Timeout: 20 * time.Millisecond})
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	vars := new(expvar.Map).Init()
	d := detours.NewDialer("self", overlay.New("a", rand.New(rand.NewPCG(1, 1))), link, detours.NewMetrics(vars), log)
	d.SetUpstreams(map[string]vaneyoke.UpstreamID{up: "i-up", "127.0.0.1:1": "i-down"})
	dial := func(address string) error {
		conn, err := d.DialContext(t.Context(), "tcp", address)
		if err == nil {
			must.NoError(t, conn.Close())
		}
		return err
	}
	must.NoError(t, dial(up))
	must.Error(t, dial("127.0.0.1:1"))
	must.StrContains(t, out.String(), "cause=refused connected_ms=-1 lost=0 ms=")
	must.StrContains(t, out.String(), "reached=1 unreached=1 upstream=i-down")
	out.Reset()
	link.Cut(cutline.Silent, func(string) bool { return true })
	must.Error(t, dial(up))
	must.Error(t, dial(up))
	must.StrContains(t, out.String(), "cause=timed_out")
	must.StrContains(t, out.String(), "reached=0 unreached=2 upstream=i-up")
	must.EqOp(t, 1, bytes.Count(out.Bytes(), []byte("upstream_not_reached")))
	must.EqOp(t, `{"direct connected": 1, "direct refused": 1, "direct timed_out": 2}`, vars.Get("dials_total").String())
}
