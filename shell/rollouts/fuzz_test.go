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

type nobody struct{}

func (nobody) Above() (feed.Member, bool)                                       { return feed.Member{}, false }
func (nobody) Reads() bool                                                      { return false }
func (nobody) SetSplit(vaneyoke.ServiceID, rollout.Split)                       {}
func (nobody) Running() map[vaneyoke.ServiceID]map[vaneyoke.SoftwareVersion]int { return nil }

// FuzzReports takes in any report of a node that follows this one, while a roll-out is under way, and has decisions made.
func FuzzReports(f *testing.F) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(_ *testing.T, body []byte) {
		now := time.Unix(1000, 0)
		n := rollouts.New("vm-0", rollout.Config{}, nil, nobody{}, nobody{}, http.DefaultClient, rollouts.NewMetrics(new(expvar.Map).Init()), log)
		n.SetRecords(now, []rollout.Row{{Revision: 4, Record: rollout.Record{Service: "lm", Target: "v2", Order: 3, Stage: rollout.StageCanary}}})
		n.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, rollouts.Path, bytes.NewReader(body)))
	})
}
