package fleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// TestDisconnectedCallerCancelsRun guards against runs that continue for a caller that has disconnected, with and without a key to resume with.
func TestDisconnectedCallerCancelsRun(t *testing.T) {
	for name, key := range map[string]string{"without a key": "", "with a key": "key-7"} {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(c *fleet.Config) {
				c.AdjustSettings = func(s *settings.Settings) { withoutTimeouts(s); s.Peers.Linger = 100 * time.Millisecond }
			})
			ctx, leave := context.WithCancel(t.Context())
			req, _ := prompt("an endless catalogue length=100000")
			req.MaxTokens = 100_000
			header := http.Header{}
			if key != "" {
				header.Set("Idempotency-Key", key)
			}
			s, err := client.New(http.DefaultClient, f.Nodes[0].URL(), fleet.CallerKey).Generate(ctx, req, header)
			must.NoError(t, err)
			_, err = s.Next()
			must.NoError(t, err)
			must.Zero(t, totalCancels(f))
			leave()
			for totalCancels(f) == 0 {
				must.NoError(t, t.Context().Err())
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func totalCancels(f *fleet.Fleet) int {
	total := 0
	for _, e := range f.Engines {
		total += int(e.Stats().Cancels)
	}
	return total
}

// TestGracefulStopInterruptsNoAnswer stops a node while it streams an answer.
func TestGracefulStopInterruptsNoAnswer(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.AdjustSettings = withoutTimeouts })
	c := newCaller(t, f, "key-8")
	s, err := c.connect(0)
	must.NoError(t, err)
	must.NoError(t, c.read(s, 10))
	stopped := make(chan error, 1)
	go func() { stopped <- f.Nodes[0].Stop(context.WithoutCancel(t.Context())) }()
	for refused := false; !refused; {
		_, err := newCaller(t, f, "key-9").connect(0)
		refused = err != nil
	}
	must.SliceEmpty(t, c.readAll(s).Seams)
	must.NoError(t, <-stopped)
}
