package forecast_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/forecast"
)

var (
	key   = forecast.Key{Service: "lm", Route: "stream"}
	start = time.Unix(1000, 0)
)

// filled returns a table with n samples of 1 to n times 100 ms for prompts of 1,000 tokens, and answers of half of the stated tokens.
func filled(n int) *forecast.Table {
	table := forecast.New()
	for i := 1; i <= n; i++ {
		table.AddFirstChunk(start, key, 1000, time.Duration(i)*100*time.Millisecond)
		table.AddChunkGap(start, key, time.Duration(i)*10*time.Millisecond)
		table.AddAnswer(start, key, 200, vaneyoke.Tokens(99+i))
	}
	return table
}

func TestFewSamplesAreTakenForKnowledge(t *testing.T) {
	must.Eq(t, forecast.Expected{}, forecast.New().Expect(start, key, 1000, 100))
	must.Eq(t, forecast.Expected{}, filled(7).Expect(start, key, 1000, 100))
}

func TestForecastIsThatOfASlowUpstream(t *testing.T) {
	got := filled(20).Expect(start, key, 1000, 100)
	must.Eq(t, forecast.Expected{FirstChunk: 600 * time.Millisecond, ChunkGap: 60 * time.Millisecond, Chunks: 50}, got)
}

func TestOldSamplesCount(t *testing.T) {
	must.Eq(t, forecast.Expected{}, filled(20).Expect(start.Add(61*time.Second), key, 1000, 100))
}

func TestPromptSizeIsIgnored(t *testing.T) {
	table := filled(20)
	must.EqOp(t, 300*time.Millisecond, table.Expect(start, key, 500, 0).FirstChunk)
	must.EqOp(t, 600*time.Millisecond, table.Expect(start, key, 5000, 0).FirstChunk, must.Sprint("not scaled up"))
}

func TestLengthIsKnownWithoutAStatedOne(t *testing.T) {
	must.Zero(t, filled(20).Expect(start, key, 1000, 0).Chunks)
	table := filled(20)
	table.AddAnswer(start, key, 0, 1)
	must.EqOp(t, 50, table.Expect(start, key, 1000, 100).Chunks)
}

func TestRoutesAreMixed(t *testing.T) {
	must.Eq(t, forecast.Expected{}, filled(20).Expect(start, forecast.Key{Service: "lm", Route: "other"}, 1000, 100))
}

func TestTableGrowsWithoutBound(t *testing.T) {
	table := forecast.New()
	for i := range 1000 {
		for range 8 {
			table.AddChunkGap(start, forecast.Key{Route: vaneyoke.RouteID(strconv.Itoa(i))}, time.Second)
		}
	}
	must.EqOp(t, time.Second, table.Expect(start, forecast.Key{Route: "255"}, 0, 0).ChunkGap)
	must.Zero(t, table.Expect(start, forecast.Key{Route: "256"}, 0, 0).ChunkGap)
}
