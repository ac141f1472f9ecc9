package placement

import "time"

const (
	ewmaWeight          = 0.2              // weight of the newest sample in the moving averages
	promptOverheadBytes = 4 << 10          // fixed cost of a first token, in bytes of prompt
	estimateHalfLife    = 10 * time.Second // age at which an estimate counts half
	defaultFirstToken   = 20 * time.Millisecond
)

// estimate is a moving average of an upstream's time to the first token.
// It decays over time, so that an upstream that was slow is tried again.
type estimate struct {
	mean      float64 // ns, independent of the prompt
	perByte   float64 // ns per byte of prompt
	updatedAt time.Time
}

// add records the time to a first token.
func (e *estimate) add(now time.Time, elapsed time.Duration, promptBytes int) {
	sample := float64(elapsed)
	samplePerByte := sample / float64(promptBytes+promptOverheadBytes)
	if e.updatedAt.IsZero() {
		e.mean, e.perByte = sample, samplePerByte
	} else {
		decay := e.decay(now)
		e.mean = ewma(e.mean*decay, sample)
		e.perByte = ewma(e.perByte*decay, samplePerByte)
	}
	e.updatedAt = now
}

// ewma returns the exponentially weighted moving average after a sample.
func ewma(mean, sample float64) float64 { return mean + ewmaWeight*(sample-mean) }

// decay returns the factor by which the estimate has decayed by now.
func (e *estimate) decay(now time.Time) float64 {
	age := now.Sub(e.updatedAt)
	if age <= 0 {
		return 1
	}
	return float64(estimateHalfLife) / float64(estimateHalfLife+age)
}

// known reports whether there has been any sample.
func (e *estimate) known() bool { return !e.updatedAt.IsZero() }

// expected returns the expected time to a first token, or the fallback if there is no sample. It ignores the prompt's size, because queueing
// matters more.
func (e *estimate) expected(now time.Time, fallback time.Duration) time.Duration {
	if !e.known() {
		return fallback
	}
	return time.Duration(e.mean * e.decay(now))
}

// upperBound returns the longest time to the first token that is still normal for a prompt, 0 if there is no sample.
// It is the larger of two estimates, because mistaking a long prompt for an unresponsive engine costs more than waiting.
func (e *estimate) upperBound(promptBytes int) time.Duration {
	return time.Duration(max(e.mean, e.perByte*float64(promptBytes+promptOverheadBytes)))
}
