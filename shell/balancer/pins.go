package balancer

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// RecordRestarted undoes a placement on an upstream that has restarted, so that its software version is not known. Nothing was sent to it.
func (b *Balancer) RecordRestarted(need placement.Need, isRetry bool, id vaneyoke.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.undoPlacement(time.Now(), need, isRetry, id, placement.OutcomeDropped)
}

// IsConfirmed reports whether an upstream's incarnation is known by a load report of a moment ago.
func (b *Balancer) IsConfirmed(id vaneyoke.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.IsConfirmed(time.Now(), id)
}

// pinnedError returns why no upstream of its software version takes the attempt of an answer that has begun.
func (b *Balancer) pinnedError(now time.Time, need placement.Need) error {
	switch {
	case need.Pin.VersionUnknown && !b.state.Offers(need):
		return vaneyoke.Err(vaneyoke.CodeVersionGone, "the process of %s%s that began the answer has ended, and its version is not known", need.Model, need.Service)
	case b.state.IsPinnedToBlocked(need), !need.Pin.VersionUnknown && b.history.IsGone(now, need.Kind, need.Service, need.Pin.Version):
		return vaneyoke.Err(vaneyoke.CodeVersionGone, "no upstream of %s%s goes on at version %q", need.Model, need.Service, need.Pin.Version)
	}
	return b.unavailableError(now, need)
}

// Software returns the versions of services' upstreams that may have begun a stream, and for how long the list of upstreams has been known.
func (b *Balancer) Software(services []vaneyoke.ServiceID) (all []pinning.Software, watched time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, service := range services {
		for _, version := range b.history.Versions(now, service) {
			all = append(all, pinning.Software{Service: service, Version: version})
		}
	}
	return all, b.history.Watched(now)
}

// SetVersionStages sets which listed versions are not to begin streams yet while others are available, and which began streams and are not listed any more.
func (b *Balancer) SetVersionStages(announced, retired map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history.SetRetired(time.Now(), retired)
	b.state.SetAnnounced(announced)
}
