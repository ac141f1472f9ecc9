package balancer

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/placement"
)

// Completed records the time from the first token of a run to its last.
func (b *Balancer) Completed(id vaneyoke.UpstreamID, need placement.Need, decodeTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Completed(time.Now(), id, need, decodeTime)
}

// Reported records a load report of an upstream.
func (b *Balancer) Reported(id vaneyoke.UpstreamID, report vaneyoke.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Reported(time.Now(), id, report)
}

// SetUneven marks a service to be spread by memory, work left and speed because its queue is ranked.
func (b *Balancer) SetUneven(service vaneyoke.ServiceID, isRanked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetUneven(service, isRanked)
}

// Spread returns the services that are spread by memory, work left and speed.
func (b *Balancer) Spread() []vaneyoke.ServiceID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.UnevenServices()
}

// Paced records the time between the events of a stream, and returns the upstream's factor if other nodes are to be told.
func (b *Balancer) Paced(id vaneyoke.UpstreamID, interval time.Duration) (gossip.Factor, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Paced(time.Now(), id, interval)
}

// RecordGossip records an observation of an upstream by another node.
func (b *Balancer) RecordGossip(sighting gossip.Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sighting.Kind == gossip.KindPaced {
		b.state.RecordSlowness(time.Now(), sighting.Upstream, sighting.Incarnation, sighting.Factor)
		return
	}
	b.state.RecordGossip(time.Now(), sighting.Upstream, sighting.Kind)
}

// IsUneven reports whether the requests of a service are spread by memory, work left and speed of its upstreams.
func (b *Balancer) IsUneven(service vaneyoke.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.IsUneven(service)
}

// HasRoom reports whether an upstream that may get a prompt has memory for it, as far as upstreams report their memory.
func (b *Balancer) HasRoom(need placement.Need) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.HasRoom(time.Now(), need)
}

// Assess returns how soon an upstream could start a request, by the load reports of the upstreams that may get it.
func (b *Balancer) Assess(need placement.Need) admission.Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.state.IsUneven(need.Service) {
		return admission.Room{Free: b.state.HasRoom(now, need)}
	}
	return b.state.Assess(now, need)
}

// Loads returns the load of each upstream as this node sees it.
func (b *Balancer) Loads() []placement.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Loads(time.Now())
}
