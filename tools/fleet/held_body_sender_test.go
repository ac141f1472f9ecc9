package fleet_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// Guards against a refusal of a stopping node that is lost to a caller who is still sending its body and reads only after that.
func TestRefusalIsLostToASenderAtAStop(t *testing.T) {
	for name, h := range heldBodies() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, func(c *fleet.Config) {
				c.AdjustSettings = func(s *settings.Settings) { withoutTimeouts(s); s.Node.Grace = 4 * time.Second }
			})
			l := h.send(t, f)
			time.Sleep(heldHead)
			stopped := stopFirstNode(t, f)
			for _, part := range []string{h.rest[:1], h.rest[1:2], h.rest[2:]} {
				time.Sleep(heldHead)
				_, err := l.Write([]byte(part))
				must.NoError(t, err) // a caller may not read after it could not send
			}
			time.Sleep(heldHead)
			got, err := l.readReply()
			must.NoError(t, err)
			must.EqOp(t, http.StatusServiceUnavailable, got.status)
			_ = l.Close()
			must.NoError(t, stopped())
		})
	}
}
