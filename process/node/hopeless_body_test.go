package node

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/gateway"
)

// Guards against a body that is asked for although the node stops and cannot take its request any more.
func TestHopelessBodyIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDrainSetup(t, &countingSender{}, nil)
		s.tables.set(2, fragileRoute)
		now := time.Now()
		s.gateway.Stop(gateway.StopPlan{Since: now, Deadline: now.Add(heldDeadline), ReroutingDelay: notReadyPropagation, LongRequestWindow: heldWindow})
		s.server.DisableKeepAlives()
		conn := s.dial(t, fmt.Sprintf(requestHead, "/fragile/x", longCallerWait, "Content-Length: 4\r\nExpect: 100-continue"))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.EqOp(t, http.StatusServiceUnavailable, res.StatusCode)
		_ = conn.Close()
	})
}
