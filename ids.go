package vaneyoke

import "fmt"

// RequestID identifies a caller's request; it is unique across the fleet.
type RequestID string

// WorkspaceID identifies a workspace, the customer to which a request is accounted.
type WorkspaceID string

// UpstreamID identifies an upstream, which is an engine or a service.
type UpstreamID string

// ModelID is a model's name in callers' requests.
type ModelID string

// ServiceID is a plain service's name in callers' requests.
type ServiceID string

// SoftwareVersion is the version of the software that an upstream runs.
type SoftwareVersion string

// RouteID identifies a route of the configuration.
type RouteID string

// VMID identifies a virtual machine in the platform's list of VMs.
type VMID string

// DataCentreID identifies the data centre that hosts a VM.
type DataCentreID string

// Incarnation distinguishes the starts of a process; a later start has a higher number.
type Incarnation uint64

// NodeID identifies one incarnation of the node on a VM.
type NodeID struct {
	VM          VMID
	Incarnation Incarnation
}

// String returns the id as vm/incarnation.
func (n NodeID) String() string { return fmt.Sprintf("%s/%d", n.VM, n.Incarnation) }

// Attempt numbers the runs of one generation, starting at 1.
type Attempt int

// Revision numbers the accepted changes of the fleet's configuration; it increases monotonically.
type Revision uint64
