package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// startBenchFleet starts one node, and engines with the given token interval and no prefill time.
func startBenchFleet(b *testing.B, engines int, gap time.Duration) *fleet.Fleet {
	b.Helper()
	config := standin.EngineConfig{TokenInterval: gap, Slots: 4096, ChunkTokens: 1, OrphanTimeout: time.Minute}
	f, err := fleet.Start(b.Context(), fleet.Config{
		Nodes: 1, Engines: engines, Engine: config, Recovery: vaneyoke.RecoverFast,
		Log: io.Discard, LogLevel: "error", TraceOutput: "off", AdjustSettings: withoutTimeouts,
	})
	must.NoError(b, err)
	b.Cleanup(f.Close)
	return f
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
}

// arrivals records when the bytes of an answer arrived.
type arrivals struct {
	at    []time.Time
	bytes []int
}

func (a *arrivals) add(total int) {
	a.at = append(a.at, time.Now())
	a.bytes = append(a.bytes, total)
}

// timeOf returns the time at which the given number of bytes had arrived.
func (a *arrivals) timeOf(bytes int) (time.Time, bool) {
	for i, n := range a.bytes {
		if n >= bytes {
			return a.at[i], true
		}
	}
	return time.Time{}, false
}

// BenchmarkAddedLatency measures the latency that the node adds to each token, by reading the same runs through the node and directly from the engine.
func BenchmarkAddedLatency(b *testing.B) {
	for _, streams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			f := startBenchFleet(b, 1, 29*time.Millisecond)
			for b.Loop() {
				added := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
				var mu sync.Mutex
				var wait sync.WaitGroup
				for i := range streams {
					wait.Go(func() {
						direct, through := readBoth(b, f, i)
						mu.Lock()
						defer mu.Unlock()
						for k, bytes := range direct.bytes {
							if at, ok := through.timeOf(bytes); ok {
								_ = added.RecordValue(max(at.Sub(direct.at[k]).Microseconds(), 1))
							}
						}
					})
				}
				wait.Wait()
				b.ReportMetric(float64(added.ValueAtQuantile(50)), "us-p50")
				b.ReportMetric(float64(added.ValueAtQuantile(99)), "us-p99")
			}
		})
	}
}

// readBoth reads one run through the node and directly from the engine.
func readBoth(b *testing.B, f *fleet.Fleet, i int) (direct, through arrivals) {
	c := client.New(newHTTPClient(), f.Nodes[0].URL(), fleet.CallerKey)
	req, _ := prompt(fmt.Sprintf("request %d length=60", i))
	s, err := c.Generate(b.Context(), req, nil)
	must.NoError(b, err)
	var wait sync.WaitGroup
	wait.Go(func() { direct = readDirect(b.Context(), f.Engines[0].URL(), s.RequestID()+".1.1") })
	total := 0
	for {
		chunk, err := s.Next()
		if err != nil {
			break
		}
		total += len(chunk.Text)
		through.add(total)
	}
	wait.Wait()
	return direct, through
}

func readDirect(ctx context.Context, url, name string) arrivals {
	var a arrivals
	client := newHTTPClient()
	s, err := engine.New(client, client).Resume(ctx, url, name, 0, 0)
	if err != nil {
		return a
	}
	total := 0
	for {
		message, err := s.Next()
		if err != nil {
			return a
		}
		if t, ok := message.(*engine.Tokens); ok {
			total += len(t.Batch.Text)
			a.add(total)
		}
	}
}

// BenchmarkThroughput measures the maximum token throughput of one node over sockets; engines and callers share the machine.
func BenchmarkThroughput(b *testing.B) {
	const streams, tokens = 400, 400
	f := startBenchFleet(b, 2, time.Millisecond)
	for b.Loop() {
		begun := time.Now()
		var wait sync.WaitGroup
		for i := range streams {
			wait.Go(func() {
				c := client.New(newHTTPClient(), f.Nodes[0].URL(), fleet.CallerKey)
				req, _ := prompt(fmt.Sprintf("request %d length=%d", i, tokens))
				s, err := c.Generate(b.Context(), req, nil)
				must.NoError(b, err)
				for err == nil {
					_, err = s.Next()
				}
			})
		}
		wait.Wait()
		b.ReportMetric(streams*tokens/time.Since(begun).Seconds(), "tokens/s")
	}
}

// BenchmarkResume measures the time from the kill of an engine during an answer to the next chunk; the engine's token interval is 1 ms.
func BenchmarkResume(b *testing.B) {
	f := startBenchFleet(b, 8, time.Millisecond)
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	c := client.New(newHTTPClient(), f.Nodes[0].URL(), fleet.CallerKey)
	n := 0
	for b.Loop() {
		n++
		req, _ := prompt(fmt.Sprintf("request %d length=60", n))
		s, err := c.Generate(b.Context(), req, nil)
		must.NoError(b, err)
		var killed time.Time
		for chunks := 0; ; chunks++ {
			_, err := s.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			must.NoError(b, err)
			if chunks == 20 {
				busy := f.BusyEngine()
				busy.Kill(nil)
				killed = time.Now()
			} else if !killed.IsZero() && chunks == 21 {
				_ = latency.RecordValue(time.Since(killed).Microseconds())
			}
		}
		for _, e := range f.Engines {
			e.Restore()
		}
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "us-p50")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "us-p99")
}

// BenchmarkInForce measures the time from the submission of a change until it is accepted, and until all nodes have applied it.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range []int{6, 25, 50} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			f, err := fleet.Start(b.Context(), fleet.Config{
				Nodes: nodes, Engines: 1, RegisterMembers: true, Engine: standin.DefaultEngineConfig(), Recovery: vaneyoke.RecoverFast,
				Log: io.Discard, LogLevel: "error", TraceOutput: "off",
			})
			must.NoError(b, err)
			defer f.Close()
			accepted := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			everywhere := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			n := 0
			for b.Loop() {
				n++
				begun := time.Now()
				code, body := callOperatorAPI(b, f, n%nodes, submitPolicy(fmt.Sprintf("p%d", n), "1s"))
				must.EqOp(b, "ok", code, must.Sprint(string(body)))
				_ = accepted.RecordValue(time.Since(begun).Microseconds())
				newest := f.Nodes[n%nodes].Revision()
				for _, node := range f.Nodes {
					for node.Revision() < newest {
						time.Sleep(100 * time.Microsecond)
					}
				}
				_ = everywhere.RecordValue(time.Since(begun).Microseconds())
			}
			b.ReportMetric(float64(accepted.ValueAtQuantile(50))/1000, "ms-accepted-p50")
			b.ReportMetric(float64(accepted.ValueAtQuantile(99))/1000, "ms-accepted-p99")
			b.ReportMetric(float64(everywhere.ValueAtQuantile(99))/1000, "ms-everywhere-p99")
		})
	}
}
