package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/shell/relay"
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
