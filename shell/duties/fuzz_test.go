package duties_test

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/capacity"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/decide/usage"
	"github.com/vaneyoke/vaneyoke/shell/duties"
)

var errAway = errors.New("away")

// away is a store, a platform and a tree of which nothing answers.
type away struct{}

func (away) Write(context.Context, lease.Name, lease.Row) (lease.Row, error) {
	return lease.Row{}, errAway
}
func (away) Load(context.Context) (usage.Loaded, error)                      { return usage.Loaded{}, errAway }
func (away) Commit(context.Context, usage.Commit) (vaneyoke.Revision, error) { return 0, errAway }
func (away) Report(context.Context, lease.FencingToken, usage.Window, usage.Counts) (duties.Reply, error) {
	return duties.ReplyNone, errAway
}
func (away) Order(context.Context, lease.FencingToken, capacity.Order) (duties.Reply, error) {
	return duties.ReplyNone, errAway
}
func (away) Above() (feed.Member, bool)  { return feed.Member{}, false }
func (away) Reader() (feed.Member, bool) { return feed.Member{}, false }
func (away) Confirms() bool              { return false }
func (away) Members() int                { return 1 }

// FuzzCounts takes in whatever a node that follows this one may hand on.
func FuzzCounts(f *testing.F) {
	f.Add([]byte(`{"batches":[{"Origin":"vm-1","Life":7,"Seq":1,"Counts":{"354955541":{"a":3}}}],"loads":{"lm":{"begun":2,"reading":2000000,"tokens":5000}},"told":3}`))
	f.Add([]byte(`{"batches":[{"Origin":"vm-1","Life":7,"Seq":1,"Again":true,"Counts":null}],"told":-1}`))
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(_ *testing.T, body []byte) {
		config := duties.Config{Lease: lease.Config{TTL: time.Second, CallTimeout: time.Second / 4}, Usage: usage.Config{WindowLength: time.Second, ReportDeadline: 4 * time.Second}}
		n := duties.New("vm-0", 1, config, away{}, away{}, away{}, away{}, http.DefaultClient, duties.NewMetrics(new(expvar.Map).Init()), log)
		n.SetTerms(time.Unix(1000, 0), []capacity.ScalingConfig{{Service: "lm", Max: 3, Prices: map[vaneyoke.DataCentreID]float64{"a": 1}}})
		for range 2 {
			n.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, duties.Path, bytes.NewReader(body)))
		}
		n.Flush(context.Background())
	})
}
