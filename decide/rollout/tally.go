package rollout

import (
	"maps"
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	bucketCount        = 34               // of a histogram; the last holds all durations above 90 s
	bucketsPerDoubling = 2                // per doubling of the duration
	firstBucketBound   = time.Millisecond // upper end of the first bucket
	maxRoutes          = 16               // counted separately; all others are counted under otherRoute
	otherRoute         = vaneyoke.RouteID("")
)

// Histogram counts durations by bucket; bucket bounds grow by a factor of the square root of two.
type Histogram map[int]int

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(float64(d)/float64(firstBucketBound)))), bucketCount-1)
}

// total returns how many durations were counted.
func (h Histogram) total() (n int) {
	for _, count := range h {
		n += count
	}
	return n
}

// countFrom returns how many durations were counted in a bucket or above it.
func (h Histogram) countFrom(bucket int) (n int) {
	for at, count := range h {
		if at >= bucket {
			n += count
		}
	}
	return n
}

// median returns the bucket of the median.
func (h Histogram) median() int {
	half, seen := (h.total()+1)/2, 0
	for at := range bucketCount {
		if seen += h[at]; seen >= half {
			return at
		}
	}
	return bucketCount - 1
}

// VersionStats counts the answers of the target, or of all other versions, on one route.
type VersionStats struct {
	Answers  int       `json:"answers"`         // complete answers, started streams and failures
	Failed   int       `json:"failed"`          // failures among them
	Latency  Histogram `json:"first,omitempty"` // time to the answer, or to a stream's first chunk
	ChunkGap Histogram `json:"gap,omitempty"`   // mean gap between the chunks of a stream
}

func (s *VersionStats) add(o VersionStats) {
	s.Answers += o.Answers
	s.Failed += o.Failed
	s.Latency = s.Latency.merge(o.Latency)
	s.ChunkGap = s.ChunkGap.merge(o.ChunkGap)
}

// merge returns the sum of two histograms; it may modify h.
func (h Histogram) merge(o Histogram) Histogram {
	if len(o) > 0 && h == nil {
		h = Histogram{}
	}
	for at, count := range o {
		h[at] += count
	}
	return h
}

// RouteStats compares the target of a rollout with the versions in use before (the baseline) on one route.
type RouteStats struct {
	Baseline VersionStats `json:"standing"`
	Target   VersionStats `json:"target"`
}

// valid reports whether the counts are possible; a peer may send anything.
func (s *VersionStats) valid() bool {
	return s.Answers >= 0 && s.Failed >= 0 && s.Latency.valid() && s.ChunkGap.valid()
}

// valid reports whether all buckets exist and no count is negative.
func (h Histogram) valid() bool {
	for at, count := range h {
		if at < 0 || at >= bucketCount || count < 0 {
			return false
		}
	}
	return true
}

// valid reports whether all counts are possible and the number of routes is within its bound.
func (t Tally) valid() bool {
	for _, stats := range t {
		if !stats.Baseline.valid() || !stats.Target.valid() {
			return false
		}
	}
	return len(t) <= maxRoutes+1
}

// Tally counts the answers of a rollout by route.
type Tally map[vaneyoke.RouteID]RouteStats

// Add adds another tally to t.
func (t Tally) Add(o Tally) {
	for route, stats := range o {
		route = t.routeKey(route)
		sum := t[route]
		sum.Baseline.add(stats.Baseline)
		sum.Target.add(stats.Target)
		t[route] = sum
	}
}

// Clone returns a deep copy.
func (t Tally) Clone() Tally {
	c := Tally{}
	for route, stats := range t {
		stats.Baseline = stats.Baseline.clone()
		stats.Target = stats.Target.clone()
		c[route] = stats
	}
	return c
}

func (s VersionStats) clone() VersionStats {
	s.Latency, s.ChunkGap = maps.Clone(s.Latency), maps.Clone(s.ChunkGap)
	return s
}

// routeKey returns the key under which answers on a route are counted.
func (t Tally) routeKey(route vaneyoke.RouteID) vaneyoke.RouteID {
	if _, ok := t[route]; ok || len(t) < maxRoutes {
		return route
	}
	return otherRoute
}

// Answer is an observation of how an upstream answered a request.
type Answer struct {
	Kind AnswerKind
	Took time.Duration // to the answer or the first chunk; the mean gap between chunks if Kind is AnswerChunkGap
}

// AnswerKind is the kind of an observation.
type AnswerKind int

// The kinds of answer.
const (
	AnswerGood     AnswerKind = iota + 1 // a success, or a stream that has started
	AnswerFailed                         // a failure that the upstream reported
	AnswerLost                           // the upstream closed the connection, went silent or sent an invalid answer
	AnswerChunkGap                       // a stream has sent enough chunks to measure the gap between them
	AnswerEmpty                          // a stream whose caller had no events ended without one
)

// count adds an answer to the target's or the baseline's statistics on a route.
func (t Tally) count(route vaneyoke.RouteID, target bool, a Answer) {
	route = t.routeKey(route)
	stats := t[route]
	versionStats := &stats.Baseline
	if target {
		versionStats = &stats.Target
	}
	switch a.Kind {
	case AnswerGood:
		versionStats.Answers++
		versionStats.Latency = versionStats.Latency.merge(Histogram{bucketOf(a.Took): 1})
	case AnswerFailed, AnswerLost, AnswerEmpty:
		versionStats.Answers++
		versionStats.Failed++
	case AnswerChunkGap:
		versionStats.ChunkGap = versionStats.ChunkGap.merge(Histogram{bucketOf(a.Took): 1})
	}
	t[route] = stats
}
