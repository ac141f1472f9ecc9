package vaneyoke

import "strings"

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamState says whether an upstream accepts new work.
type UpstreamState string

// The states of an upstream.
const (
	StateLive    UpstreamState = "live"
	StateLeaving UpstreamState = "leaving"
)

// Upstream is a back end that requests are sent to.
type Upstream struct {
	ID         UpstreamID    `json:"id"`
	Kind       UpstreamKind  `json:"kind"`
	URL        string        `json:"url"`
	VM         VMID          `json:"vm"`
	DataCentre DataCentreID  `json:"data_centre"`
	State      UpstreamState `json:"state"`
	Models     []ModelID     `json:"models,omitempty"`  // models that an engine has loaded
	Service    ServiceID     `json:"service,omitempty"` // service that the upstream offers
	Slots      int           `json:"slots,omitempty"`   // concurrent generations before the engine queues
	// Version is the version of the upstream's software; "" if unknown.
	Version SoftwareVersion `json:"version,omitempty"`
	// VersionUnknown says that the upstream has restarted since Version was stated, so that it may run another one.
	VersionUnknown bool `json:"-"`
	// Preemptible says whether the platform may reclaim the upstream at any time, at short notice.
	Preemptible bool `json:"preemptible,omitempty"`
	// Incarnation distinguishes restarts of the upstream, which may keep its id; 0 if unknown.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// Address returns the IP address and port of the upstream.
func (u *Upstream) Address() string { return strings.TrimPrefix(u.URL, "http://") }
