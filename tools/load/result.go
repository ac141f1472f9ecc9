package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUs         = int64(10 * time.Minute / time.Microsecond)
	histogramDigits      = 3
	maxViolationExamples = 20
)

// Result holds the counts and latencies of a load.
type Result struct {
	Sent               int            `json:"sent"`
	NotSent            int            `json:"not_sent"` // arrivals beyond the limit of open requests
	Answers            int            `json:"answers"`  // complete and checked
	Failures           map[string]int `json:"failures"` // by name of the result code
	Tokens             int64          `json:"tokens"`
	Seams              int            `json:"seams"`      // places in answers at which another attempt continued
	Reconnects         int            `json:"reconnects"` // lost connections after which the caller reconnected
	ExtraDecodedTokens *int64         `json:"extra_decoded_tokens,omitempty"`
	FirstToken         LatencySummary `json:"first_token"`
	BetweenTokens      LatencySummary `json:"between_tokens"`
	Resume             LatencySummary `json:"resume"` // longest gap of each answer with a seam or a reconnection
	ServiceCall        LatencySummary `json:"service_call"`
	Violations         int            `json:"violations"`
	ViolationExamples  []string       `json:"violation_examples,omitempty"`
}

// LatencySummary holds the percentiles of a latency in microseconds.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// recorder collects the results of the callers.
type recorder struct {
	mu                                      sync.Mutex
	result                                  Result
	first, betweenTokens, resume, callTimes *hdrhistogram.Histogram
	reported                                map[string]outcome // by order
}

// outcome is what a caller learned about an order.
type outcome int

const (
	outcomeDone outcome = iota + 1
	outcomeNotRun
	outcomeUnknown
)

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, histogramDigits) }
	return &recorder{
		result: Result{Failures: map[string]int{}},
		first:  histogram(), betweenTokens: histogram(), resume: histogram(), callTimes: histogram(),
		reported: map[string]outcome{},
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) }

func (r *recorder) violation(format string, args ...any) {
	r.result.Violations++
	if len(r.result.ViolationExamples) < maxViolationExamples {
		r.result.ViolationExamples = append(r.result.ViolationExamples, fmt.Sprintf(format, args...))
	}
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// finish checks the services' orders against what callers were told, and returns the result.
func (r *recorder) finish(orders map[string]int, ordersKnown bool, decoded *int64) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ordersKnown {
		r.checkOrders(orders)
	}
	r.result.FirstToken = summarize(r.first)
	r.result.BetweenTokens = summarize(r.betweenTokens)
	r.result.Resume = summarize(r.resume)
	r.result.ServiceCall = summarize(r.callTimes)
	if decoded != nil {
		extra := *decoded - r.result.Tokens
		r.result.ExtraDecodedTokens = &extra
	}
	return r.result
}

func (r *recorder) checkOrders(orders map[string]int) {
	for order, reported := range r.reported {
		runs := orders[order]
		switch {
		case runs > 1:
			r.violation("order %s ran %d times", order, runs)
		case reported == outcomeNotRun && runs > 0:
			r.violation("order %s was told as not run and ran", order)
		case reported == outcomeDone && runs == 0:
			r.violation("order %s was told as done and did not run", order)
		}
	}
}

// WriteTable writes the result as text.
func (r Result) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d, not sent %d, answers %d, failures %v\ntokens %d, seams %d, reconnects %d",
		r.Sent, r.NotSent, r.Answers, r.Failures, r.Tokens, r.Seams, r.Reconnects)
	if err != nil {
		return err
	}
	if r.ExtraDecodedTokens != nil {
		fmt.Fprintf(w, ", extra decoded %d", *r.ExtraDecodedTokens)
	}
	fmt.Fprintf(w, "\n\n%-16s %10s %10s %10s %10s %10s\n", "latency in ms", "count", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		s    LatencySummary
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"resume", r.Resume}, {"service call", r.ServiceCall}} {
		fmt.Fprintf(w, "%-16s %10d %10.2f %10.2f %10.2f %10.2f\n", row.name, row.s.Count, ms(row.s.P50), ms(row.s.P95), ms(row.s.P99), ms(row.s.Max))
	}
	fmt.Fprintf(w, "\nviolations %d\n", r.Violations)
	for _, example := range r.ViolationExamples {
		fmt.Fprintln(w, " ", example)
	}
	return nil
}

func ms(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
