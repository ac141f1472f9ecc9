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

var errUnavailable = errors.New("away")

// unavailable is a store and a platform that do not answer, and a tree without other nodes.
type unavailable struct{}

func (unavailable) Write(context.Context, lease.Name, lease.Row) (lease.Row, error) {
	return lease.Row{}, errUnavailable
}
func (unavailable) Load(context.Context) (usage.Loaded, error) { return usage.Loaded{}, errUnavailable }
func (unavailable) Commit(context.Context, usage.Commit) (vaneyoke.Revision, error) {
	return 0, errUnavailable
}
func (unavailable) Report(context.Context, lease.FencingToken, usage.Window, usage.Counts) (duties.Reply, error) {
	return duties.ReplyNone, errUnavailable
}
func (unavailable) Order(context.Context, lease.FencingToken, capacity.Order) (duties.Reply, error) {
	return duties.ReplyNone, errUnavailable
}
func (unavailable) Parent() (feed.Member, bool)      { return feed.Member{}, false }
func (unavailable) StoreReader() (feed.Member, bool) { return feed.Member{}, false }
func (unavailable) ConfirmedByStore() bool           { return false }
func (unavailable) Members() int                     { return 1 }

// FuzzCounts sends arbitrary bodies to a node as if a child node had sent them.
func FuzzCounts(f *testing.F) {
	f.Add([]byte(`{"batches":[{"Origin":"vm-1","Life":7,"Seq":1,"Counts":{"354955541":{"a":3}}}],"loads":{"lm":{"begun":2,"reading":2000000,"tokens":5000}},"told":3}`))
	f.Add([]byte(`{"batches":[{"Origin":"vm-1","Life":7,"Seq":1,"Again":true,"Counts":null}],"told":-1}`))
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(_ *testing.T, body []byte) {
		config := duties.Config{Lease: lease.Config{TTL: time.Second, CallTimeout: time.Second / 4}, Usage: usage.Config{WindowLength: time.Second, ReportDeadline: 4 * time.Second}}
		n := duties.New("vm-0", 1, config, unavailable{}, unavailable{}, unavailable{}, unavailable{}, http.DefaultClient, duties.NewMetrics(new(expvar.Map).Init()), log)
		n.SetScalingConfigs(time.Unix(1000, 0), []capacity.ScalingConfig{{Service: "lm", Max: 3, Prices: map[vaneyoke.DataCentreID]float64{"a": 1}}})
		for range 2 {
			n.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, duties.Path, bytes.NewReader(body)))
		}
		n.Flush(context.Background())
	})
}
