package rollout

import (
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// The verdict uses Wald's sequential probability ratio test (SPRT) on the share of failed or slow answers. Each answer adds the logarithm
// of the ratio of its likelihoods under the shifted and the baseline share; the sum is compared with bounds that follow from the two
// accepted error rates.
const (
	falseAlarmRate   = 0.001 // chance that a version as good as the baseline is judged bad, for each of a route's three shares
	missRate         = 0.01  // chance that a version worse by the shifts below is judged good
	failureShift     = 0.2   // increase in the share of failed answers at a bad version
	slowShift        = 0.5   // increase in the share of slow answers at a bad version
	slowBuckets      = 3     // distance from the baseline's median from which an answer is slow: more than twice as long
	minBaselineShare = 0.02  // least baseline share assumed, because a few failures occur by chance
	maxBaselineShare = 0.98
	priorAnswers     = 10 // weight, in answers, of the prior minBaselineShare in a baseline with few answers
	minBaselineTimes = 15 // durations of the baseline required before slowness is judged
)

var (
	badBound  = math.Log((1 - missRate) / falseAlarmRate) // 6.9
	goodBound = math.Log(missRate / (1 - falseAlarmRate)) // -4.6
)

// Verdict is the result of comparing a version with the baseline.
type Verdict int

// The verdicts.
const (
	VerdictOpen Verdict = iota + 1 // too few answers, or inconclusive ones
	VerdictGood
	VerdictBad
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return names.Of(v, "none", "open", "good", "bad") }

// Reason says why a rollout changed its stage.
type Reason string

// The reasons.
const (
	ReasonFailures        Reason = "failures"        // more answers failed than at the baseline
	ReasonSlow            Reason = "slow"            // answers, or the chunks of streams, took longer than at the baseline
	ReasonTooFew          Reason = "too_few_answers" // too few answers by the deadline for a verdict
	ReasonNoUpstreams     Reason = "no_upstreams"    // no upstream of the version existed by the deadline
	ReasonGood            Reason = "good"
	ReasonAlreadyDeployed Reason = "already_stands" // all upstreams already have the version
)

// Evaluate judges the target on each route and on all routes together. It is bad if it is bad on any route. It is good if all routes
// together show it and no single route has evidence against it.
func Evaluate(t Tally) (Verdict, Reason) {
	all := RouteStats{}
	hasContrary := false
	for _, route := range sortedRoutes(t) {
		stats := t[route]
		all.Baseline.Answers += stats.Baseline.Answers
		all.Baseline.Failed += stats.Baseline.Failed
		all.Target.Answers += stats.Target.Answers
		all.Target.Failed += stats.Target.Failed
		failures, slowness := stats.failureEvidence(), stats.slownessEvidence()
		switch {
		case failures >= badBound:
			return VerdictBad, ReasonFailures
		case slowness >= badBound:
			return VerdictBad, ReasonSlow
		}
		hasContrary = hasContrary || failures > 0 || slowness > 0
	}
	if !hasContrary && all.failureEvidence() <= goodBound {
		return VerdictGood, ReasonGood
	}
	return VerdictOpen, ReasonTooFew
}

func sortedRoutes(t Tally) []vaneyoke.RouteID {
	routes := lo.Keys(t)
	slices.Sort(routes)
	return routes
}

// failureEvidence returns the log-likelihood ratio for more failures at the target than at the baseline.
func (s RouteStats) failureEvidence() float64 {
	share := (float64(s.Baseline.Failed) + minBaselineShare*priorAnswers) / float64(s.Baseline.Answers+priorAnswers)
	return logLikelihoodRatio(s.Target.Answers, s.Target.Failed, share, failureShift)
}

// slownessEvidence returns the log-likelihood ratio for slower answers, or slower streams, at the target than at the baseline.
func (s RouteStats) slownessEvidence() float64 {
	return max(latencyEvidence(s.Baseline.Latency, s.Target.Latency), latencyEvidence(s.Baseline.ChunkGap, s.Target.ChunkGap))
}

// latencyEvidence returns the log-likelihood ratio for slower durations at the target; 0 while the baseline has too few.
func latencyEvidence(baseline, target Histogram) float64 {
	samples := baseline.total()
	if samples < minBaselineTimes {
		return 0
	}
	slow := baseline.median() + slowBuckets
	share := (float64(baseline.countFrom(slow)) + 1) / float64(samples+2)
	return logLikelihoodRatio(target.total(), target.countFrom(slow), share, slowShift)
}

// logLikelihoodRatio returns the logarithm of the ratio of the likelihoods of hits among n under the shifted and the baseline share.
func logLikelihoodRatio(n, hits int, share, shift float64) float64 {
	share = min(max(share, minBaselineShare), maxBaselineShare)
	shifted := min(share+shift, (1+share)/2)
	if shifted <= share {
		return 0
	}
	return float64(hits)*math.Log(shifted/share) + float64(n-hits)*math.Log((1-shifted)/(1-share))
}
