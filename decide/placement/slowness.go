package placement

import (
	"math"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

const (
	slownessHalfLife = 3 * time.Second // age at which an observation of an upstream's pace counts half
	forgetHalfLife   = 15 * time.Second
	minSlownessCount = 2   // observations that have to agree before a factor is used
	maxToldCount     = 4   // most that the observations of other nodes count together
	toldCount        = 1.5 // how much one of them counts
	// changeThreshold is how far a new factor has to be from the one in use to replace it.
	changeThreshold = 1.4
	tellAgainDelay  = 3 * time.Second // after which other nodes are told a factor once more
)

// observations is a sum of logarithms of factors that decays over time.
type observations struct {
	sum, count float64 // as of updatedAt
	updatedAt  time.Time
}

func (o *observations) decay(now time.Time) {
	if age := now.Sub(o.updatedAt); age > 0 && !o.updatedAt.IsZero() {
		decay := math.Exp2(-age.Seconds() / slownessHalfLife.Seconds())
		o.sum *= decay
		o.count *= decay
	}
	o.updatedAt = now
}

func (o *observations) add(now time.Time, factor gossip.Factor, count, maxCount float64) {
	o.decay(now)
	o.sum += count * math.Log(float64(min(max(factor, gossip.MinFactor), gossip.MaxFactor)))
	o.count += count
	if o.count > maxCount {
		o.sum *= maxCount / o.count
		o.count = maxCount
	}
}

// slowness tracks how slow an upstream is compared with others of its service.
type slowness struct {
	own, told observations
	factor    float64   // logarithm of the factor in use as of usedAt
	usedAt    time.Time // time of the last observation that agreed with the factor in use or replaced it
	toldAt    time.Time // when other nodes were told last
}

// current returns the factor in use, which approaches 1 without observations.
func (s *slowness) current(now time.Time) gossip.Factor {
	if s == nil || s.factor == 0 {
		return 1
	}
	age := max(now.Sub(s.usedAt), 0)
	return gossip.Factor(math.Exp(s.factor * math.Exp2(-age.Seconds()/forgetHalfLife.Seconds())))
}

// observe applies an observation of an upstream's pace.
func (e *entry) observe(now time.Time, factor gossip.Factor, isTold bool) {
	if e.slowness == nil {
		e.slowness = &slowness{}
	}
	e.slowness.observe(now, factor, isTold)
}

// observe applies an observation of this node or, if isTold is true, of another one.
func (s *slowness) observe(now time.Time, factor gossip.Factor, isTold bool) {
	if isTold {
		s.told.add(now, factor, toldCount, maxToldCount)
		s.own.decay(now)
	} else {
		s.own.add(now, factor, 1, math.Inf(1))
		s.told.decay(now)
	}
	count := s.own.count + s.told.count
	if count < minSlownessCount {
		return
	}
	observed := (s.own.sum + s.told.sum) / count
	inUse := math.Log(float64(s.current(now)))
	if math.Abs(observed-inUse) < math.Log(changeThreshold) {
		observed = inUse
	}
	s.factor, s.usedAt = observed, now
}

// news returns the factor that this node observed if others are to be told.
func (s *slowness) news(now time.Time) (gossip.Factor, bool) {
	if s.own.count < minSlownessCount {
		return 0, false
	}
	observed := s.own.sum / s.own.count
	isUsual := math.Abs(observed) < math.Log(changeThreshold)
	othersKnow := s.told.count >= toldCount/2 && math.Abs(observed-s.told.sum/s.told.count) < math.Log(changeThreshold)
	if othersKnow || (isUsual && s.told.count < toldCount/2) || now.Sub(s.toldAt) < tellAgainDelay {
		return 0, false
	}
	s.toldAt = now
	return gossip.Factor(math.Exp(observed)), true
}

// Paced records the time between the events of a stream from an upstream, and returns the upstream's factor if other nodes are to be told.
func (s *State) Paced(now time.Time, id vaneyoke.UpstreamID, interval time.Duration) (factor gossip.Factor, isNews bool) {
	e, ok := s.entries[id]
	if !ok || interval <= 0 {
		return 0, false
	}
	if s.spread == SpreadOff {
		return 0, false
	}
	usual := &s.speed(e.upstream.Service).eventInterval
	usual.add(float64(interval))
	e.observe(now, gossip.Factor(float64(interval)/usual.value), false)
	s.updateSpread(now, e.upstream.Service)
	return e.slowness.news(now)
}

// RecordSlowness applies a factor that another node observed; it is ignored if it concerns another incarnation of the upstream.
func (s *State) RecordSlowness(now time.Time, id vaneyoke.UpstreamID, incarnation vaneyoke.Incarnation, factor gossip.Factor) {
	e, ok := s.entries[id]
	if !ok || !factor.Valid() || incarnation != e.upstream.Incarnation {
		return
	}
	e.observe(now, factor, true)
	s.updateSpread(now, e.upstream.Service)
}

const (
	maxMedianStep = 0.25
	minMedianStep = 0.005
)

// median tracks the median of a sequence of samples by stochastic approximation.
type median struct {
	value   float64 // 0 if there is no sample
	samples int
}

func (m *median) add(sample float64) {
	m.samples++
	step := 1 + max(maxMedianStep/float64(m.samples), minMedianStep)
	switch {
	case m.value == 0:
		m.value = sample
	case sample > m.value:
		m.value = min(m.value*step, sample)
	default:
		m.value = max(m.value/step, sample)
	}
}

// Bounds of the window over which a stream's pace is measured.
const (
	maxPaceIntervals = 12 // between events
	minPaceIntervals = 4
	paceTime         = time.Second // after which fewer intervals than the most suffice
)

// Pace measures the time between the events of a stream while its upstream reads no prompt: one of the shortest of a few intervals, since
// some events arrive at once.
type Pace struct {
	startedAt, lastAt time.Time
	intervals         [maxPaceIntervals]time.Duration
	count             int
}

// Add records an event; ok is true if a window of intervals is complete.
func (p *Pace) Add(now time.Time) (interval time.Duration, ok bool) {
	if p.lastAt.IsZero() {
		p.startedAt, p.lastAt = now, now
		return 0, false
	}
	p.intervals[p.count] = now.Sub(p.lastAt)
	p.lastAt = now
	if p.count++; p.count < maxPaceIntervals && (p.count < minPaceIntervals || now.Sub(p.startedAt) < paceTime) {
		return 0, false
	}
	window := p.intervals[:p.count]
	p.startedAt, p.count = now, 0
	slices.Sort(window)
	return window[len(window)/6], true
}
