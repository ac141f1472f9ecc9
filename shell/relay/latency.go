package relay

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRoutes         = 64 // all further routes are counted together
	otherRoute        = "other"
	maxMs             = 120_000
	significantDigits = 2
)

// Latencies keeps latency histograms for each route.
type Latencies struct {
	mu     sync.Mutex
	routes map[string]*routeLatency
}

type routeLatency struct {
	firstChunk, maxGap, total *hdrhistogram.Histogram // ms
}

// NewLatencies returns empty histograms.
func NewLatencies() *Latencies { return &Latencies{routes: map[string]*routeLatency{}} }

// Add records an answer: the times to its first and last chunk, and the longest gap between two chunks.
func (l *Latencies) Add(route string, firstChunk, maxGap, total time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil && len(l.routes) >= maxRoutes {
		route = otherRoute
		r = l.routes[route]
	}
	if r == nil {
		r = &routeLatency{firstChunk: newHistogram(), maxGap: newHistogram(), total: newHistogram()}
		l.routes[route] = r
	}
	recordDuration(r.firstChunk, firstChunk)
	recordDuration(r.maxGap, maxGap)
	recordDuration(r.total, total)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMs, significantDigits) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxMs))
}

// Quantiles holds values of a histogram in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// RouteQuantiles holds the latencies of one route.
type RouteQuantiles struct {
	FirstChunk Quantiles `json:"first_ms"`
	MaxGap     Quantiles `json:"gap_ms"`
	Total      Quantiles `json:"whole_ms"`
}

// Snapshot returns the current latencies of each route.
func (l *Latencies) Snapshot() map[string]RouteQuantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := make(map[string]RouteQuantiles, len(l.routes))
	for route, r := range l.routes {
		snapshot[route] = RouteQuantiles{FirstChunk: quantiles(r.firstChunk), MaxGap: quantiles(r.maxGap), Total: quantiles(r.total)}
	}
	return snapshot
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}
