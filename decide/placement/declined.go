package placement

import (
	"math"
	"time"
)

// declineFades is the time in which half of an upstream's refusals are forgotten.
const declineFades = time.Second

// declines counts the requests that an upstream turned away of late. They count as work there: a refusal says that the upstream has enough to do,
// and is quicker than any answer.
type declines struct {
	count float64 // as of at
	at    time.Time
}

func (d *declines) add(now time.Time) {
	d.count = d.of(now) + 1
	d.at = now
}

// of returns how many of the refusals have not been forgotten by now.
func (d *declines) of(now time.Time) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp2(-max(now.Sub(d.at).Seconds(), 0)/declineFades.Seconds())
}

// ofLate reports whether the upstream has turned something away in the time in which half of that is forgotten.
func (d *declines) ofLate(now time.Time) bool { return d.of(now) >= 0.5 }
