package placement

import (
	"math"
	"time"
)

// declineHalfLife is the time in which the count of an upstream's rejections halves.
const declineHalfLife = time.Second

// declines is a decaying count of the requests that an upstream rejected. It is added to the upstream's load: a rejection shows that the upstream
// is overloaded, and is quicker than any answer, so that the upstream would otherwise look idle.
type declines struct {
	count     float64 // as of updatedAt
	updatedAt time.Time
}

func (d *declines) add(now time.Time) {
	d.count = d.decayed(now) + 1
	d.updatedAt = now
}

// decayed returns the count after its decay until now.
func (d *declines) decayed(now time.Time) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp2(-max(now.Sub(d.updatedAt).Seconds(), 0)/declineHalfLife.Seconds())
}

// isRecent reports whether the upstream has rejected a request within the half-life.
func (d *declines) isRecent(now time.Time) bool { return d.decayed(now) >= 0.5 }
