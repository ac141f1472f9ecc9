package generation

import "time"

const (
	gapWeight       = 0.1 // weight of the latest gap in the moving averages
	deviationWeight = 0.1
)

// gapEstimate tracks exponentially weighted moving averages of the gap between batches and of its deviation.
type gapEstimate struct {
	last      time.Time
	mean      time.Duration
	deviation time.Duration
	count     int
}

// add records a batch that arrived at now.
func (g *gapEstimate) add(now time.Time) {
	if g.count > 0 {
		g.addGap(now.Sub(g.last))
	}
	g.last = now
	g.count++
}

func (g *gapEstimate) addGap(gap time.Duration) {
	if g.count == 1 {
		g.mean = gap
		g.deviation = gap / 2
		return
	}
	diff := gap - g.mean
	g.mean += time.Duration(gapWeight * float64(diff))
	g.deviation += time.Duration(deviationWeight * float64(diff.Abs()-g.deviation))
}

// limit returns the silence after which the run is suspect.
func (g *gapEstimate) limit(s Silence) time.Duration {
	if g.count == 0 {
		return s.FirstToken
	}
	limit := g.mean + time.Duration(s.Deviations*float64(g.deviation))
	return max(min(max(limit, s.Floor), s.Ceiling), time.Duration(s.MinMeanGaps*float64(g.mean)))
}
