package vaneyoke

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// UpstreamState says whether an upstream takes new work.
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
	Models     []ModelID     `json:"models,omitempty"`  // what an engine has loaded
	Service    ServiceID     `json:"service,omitempty"` // what a service offers
	Slots      int           `json:"slots,omitempty"`   // generations run at once before the engine queues
	// Version is that of the software which the upstream runs; "" where it is not known.
	Version SoftwareVersion `json:"version,omitempty"`
	// Preemptible says whether it may be taken away at any time, with little notice.
	Preemptible bool `json:"preemptible,omitempty"`
	// Incarnation tells its lives apart, since a later one may have the same id; 0 where it is not known.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}
