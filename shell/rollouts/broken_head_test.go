package rollouts

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
)

// Guards against another node's answer to a report that is no HTTP and is taken for rollouts that have been stopped.
func TestBrokenHeadStopsARollout(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, head := range []string{"000 None\r\n", "200 OK\r\nX Note: y\r\n", "200 OK\r\nX-Note : y\r\n"} {
		const stopped = `{"stopped":[{"service":"lm"}]}`
		address := rawserver.Start(t, rawserver.Once(fmt.Sprintf("HTTP/1.1 %sContent-Length: %d\r\nConnection: close\r\n\r\n%s", head, len(stopped), stopped)))
		n := New("vm-0", rollout.Config{}, nil, nil, nil, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		response, err := n.sendReport(t.Context(), address, reportRequest{})
		must.ErrorContains(t, err, "violates HTTP")
		must.SliceEmpty(t, response.Stopped)
	}
}
