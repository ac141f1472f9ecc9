package relay_test

import (
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

func TestLatencies(t *testing.T) {
	l := relay.NewLatencies()
	for ms := range 100 {
		l.Add("r", time.Duration(ms+1)*time.Millisecond, 0, time.Hour)
	}
	got := l.Snapshot()["r"]
	must.Eq(t, relay.Quantiles{Count: 100, P50: 50, P95: 95, P99: 99, Max: 100}, got.FirstChunk)
	must.EqOp(t, int64(1), got.MaxGap.Max)
	must.Between(t, 119_000, got.Total.Max, 121_000)
}

func TestLatenciesAreBounded(t *testing.T) {
	l := relay.NewLatencies()
	for n := range 1000 {
		l.Add(fmt.Sprint("route-", n), time.Second, time.Second, time.Second)
	}
	snapshot := l.Snapshot()
	must.MapLen(t, 65, snapshot)
	must.EqOp(t, int64(1000-64), snapshot["other"].FirstChunk.Count)
}

// Guards against a stream that ends late and without an event, and is counted as one whose first event came at once.
func TestAnswerWithoutOutputCountsAsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", delay: 2 * time.Second}}
		metrics := relay.NewMetrics(new(expvar.Map).Init())
		r := newForwarderCounting(&fakeSender{answers: answers, reachable: true}, &sequentialPlacer{}, metrics)
		result, err := forwardStream(t, r).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.Between(t, 1900, metrics.Latencies.Snapshot()[""].FirstChunk.Max, 2100)
		r.Close()
		synctest.Wait()
	})
}
