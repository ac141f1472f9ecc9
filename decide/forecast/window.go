package forecast

import (
	"slices"
	"time"
)

const (
	windowLength = 64
	windowAge    = time.Minute // older samples are ignored
	minSamples   = 8           // fewer samples count as unknown
	fastShare    = 0.25        // quantile that stands for a fast upstream
)

// sample is one measurement.
type sample struct {
	at    time.Time
	size  float64 // of the request, in tokens; 0 if the value does not depend on it
	value float64
}

// window is a ring of the latest samples.
type window struct {
	ring [windowLength]sample
	next int
	len  int
}

func (w *window) add(s sample) {
	w.ring[w.next] = s
	w.next = (w.next + 1) % windowLength
	w.len = min(w.len+1, windowLength)
}

// recent appends the samples that count at now to buf.
func (w *window) recent(now time.Time, buf []sample) []sample {
	for _, s := range w.ring[:w.len] {
		if now.Sub(s.at) <= windowAge {
			buf = append(buf, s)
		}
	}
	return buf
}

// quantile returns a quantile of the recent values for a request of a size, 0 if there are too few. Values of larger requests are scaled down;
// those of smaller ones are not scaled up, since a part of them does not depend on the size.
func (w *window) quantile(now time.Time, share, size float64) float64 {
	var samples [windowLength]sample
	var values [windowLength]float64
	recent := w.recent(now, samples[:0])
	if len(recent) < minSamples {
		return 0
	}
	for i, s := range recent {
		values[i] = s.value
		if s.size > size {
			values[i] *= size / s.size
		}
	}
	slices.Sort(values[:len(recent)])
	return values[int(share*float64(len(recent)))]
}

// leastRatio returns the lowest ratio of a recent value to its size, at most 1, or 0 if there are too few samples.
func (w *window) leastRatio(now time.Time) float64 {
	var samples [windowLength]sample
	recent := w.recent(now, samples[:0])
	if len(recent) < minSamples {
		return 0
	}
	least := 1.0
	for _, s := range recent {
		least = min(least, s.value/s.size)
	}
	return least
}
