package peer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
	"github.com/vaneyoke/vaneyoke/wire/peer"
)

// Guards against another node's answer that is no HTTP and says that nobody owns a request, that it has no journal of it, or which configuration it has.
func TestBrokenHeadOfAPeerIsTaken(t *testing.T) {
	for _, head := range []string{"000 None\r\n", "200 OK\r\nX Note: y\r\n", "200 OK\r\nX-Note : y\r\n"} {
		t.Run(strings.TrimSpace(head), func(t *testing.T) {
			address := rawserver.Start(t, rawserver.Once("HTTP/1.1 "+head+"Content-Type: application/protobuf\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			sends := map[string]func(c *peer.Client, p membership.Peer) error{
				"open": func(c *peer.Client, p membership.Peer) error {
					_, _, err := c.Open(t.Context(), p, journal.Key{}, journal.Entry{})
					return err
				},
				"take over": func(c *peer.Client, p membership.Peer) error {
					_, _, err := c.TakeOver(t.Context(), p, journal.Key{}, vaneyoke.NodeID{}, false)
					return err
				},
				"confirm": func(c *peer.Client, p membership.Peer) error {
					_, _, err := c.Confirm(t.Context(), p, 3, true)
					return err
				},
			}
			for name, send := range sends {
				journals := peer.NewJournals(journal.New(journal.Config{MaxBytes: 1 << 20, Retention: time.Minute}))
				c := peer.NewClient(vaneyoke.NodeID{VM: "self"}, journals, &http.Client{Transport: &http.Transport{}}, "key", time.Second, noop.NewTracerProvider().Tracer(""))
				must.ErrorContains(t, send(c, membership.Peer{VM: "another", Address: address}), "violates HTTP", must.Sprint(name))
			}
		})
	}
}
