package ratelimits_test

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
)

type noop struct{}

func (noop) SendLimits(vaneyoke.VMID, ratelimits.Message) {}
func (noop) RemoveIfUnreachable(vaneyoke.VMID)            {}

// Write does nothing.
func (noop) Write(context.Context, ratelimit.Row) error { return nil }

// Remove does nothing.
func (noop) Remove(context.Context, ratelimit.Row) error { return nil }

// FuzzMessages handles any two messages of other nodes, of which the second may respond to or contradict the first, and acquires permits afterwards.
func FuzzMessages(f *testing.F) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		n := ratelimits.New("vm-0", "a", noop{}, noop{}, func(vaneyoke.UpstreamID, vaneyoke.Limit) {}, ratelimits.NewMetrics(new(expvar.Map).Init()), log)
		defer n.Close()
		n.SetMembers([]ratelimit.Member{{VM: "vm-0", DataCentre: "a", SupportsLimits: true}, {VM: "vm-1", DataCentre: "b"}})
		for _, text := range [][]byte{first, second} {
			var m ratelimits.Message
			if json.Unmarshal(text, &m) == nil {
				n.HandleMessage(m)
			}
		}
		for _, id := range []vaneyoke.UpstreamID{"u1", "u2"} {
			p := n.AcquirePermit(t.Context(), id)
			if p.AvailableIn < 0 || p.RetryAfter < 0 || p.RetryAfter > 10*time.Second {
				t.Fatal(p)
			}
		}
	})
}
