package balancer

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

// SetLimit sets the limit that an upstream declares; the zero Limit means none.
func (b *Balancer) SetLimit(id vaneyoke.UpstreamID, limit vaneyoke.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetLimit(id, limit)
}

// RecordSignal records a pushback or shutdown signal from an upstream's answer. It returns the resulting hold and the previous one; ok is false
// if the signal has no effect.
func (b *Balancer) RecordSignal(signal pushback.Signal) (hold, before pushback.Hold, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, before := b.state.RecordSignal(time.Now(), signal)
	if current == nil {
		return pushback.Hold{}, before, false
	}
	return *current, before, true
}

// RecordBrittle records how many rejections in a second an upstream says that it bears, 0 if it does not say. It reports whether that changes whether
// the upstreams of its service count as brittle.
func (b *Balancer) RecordBrittle(id vaneyoke.UpstreamID, maxRejections int) (service vaneyoke.ServiceID, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.RecordBrittle(time.Now(), id, maxRejections)
}

// SetFleet sets this node's part of the fleet.
func (b *Balancer) SetFleet(fleet placement.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetFleet(fleet)
}

// IsHeld reports whether an upstream gets no new attempts because of a signal that it sent.
func (b *Balancer) IsHeld(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.IsHeld(time.Now(), id)
}

// IsPushedBack reports whether an upstream has asked for a time without any requests, queries included.
func (b *Balancer) IsPushedBack(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.IsPushedBack(time.Now(), id)
}

// LimitReached undoes a placement on an upstream whose limit does not permit the attempt. Nothing was sent to it.
func (b *Balancer) LimitReached(need placement.Need, isRetry bool, id vaneyoke.UpstreamID, availableIn, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.state.LimitReached(now, id, availableIn, retryAfter)
	b.undoPlacement(now, need, isRetry, id, placement.OutcomeDropped)
}
