package rollouts_test

import (
	"bytes"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/shell/rollouts"
)

type noPeers struct{}

func (noPeers) Parent() (feed.Member, bool)                { return feed.Member{}, false }
func (noPeers) ReadsStore() bool                           { return false }
func (noPeers) SetSplit(vaneyoke.ServiceID, rollout.Split) {}
func (noPeers) InFlightByVersion() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int {
	return nil
}

// FuzzReports sends arbitrary bodies to a node as if a child node had sent them, while a rollout is in progress.
func FuzzReports(f *testing.F) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(_ *testing.T, body []byte) {
		now := time.Unix(1000, 0)
		n := rollouts.New("vm-0", rollout.Config{}, nil, noPeers{}, noPeers{}, http.DefaultClient, rollouts.NewMetrics(new(expvar.Map).Init()), log)
		n.SetRecords(now, []rollout.Row{{Revision: 4, Record: rollout.Record{Service: "lm", Target: "v2", Order: 3, Stage: rollout.StageCanary}}})
		n.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, rollouts.Path, bytes.NewReader(body)))
	})
}
