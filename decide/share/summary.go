package share

import (
	"cmp"
	"hash/fnv"
	"time"
	"unicode/utf8"

	"github.com/vaneyoke/vaneyoke"
)

// The bounds of a summary, sent or received.
const (
	MaxBytes      = 2<<10 - 1 // of an encoded summary, which follows a type byte in a datagram
	maxServices   = 8
	maxUrgencies  = 10 // of a service
	maxWorkspaces = 24 // of a service
	maxOverused   = 8
	maxNameBytes  = 128 // of a service, a workspace or a node
	maxUrgency    = 1000
	maxFlow       = 1_000_000_000_000
	maxNodes      = 100_000
	maxHeight     = 16
)

// Summary is what a node tells a neighbour: the demand of its subtree to its parent, the totals to its children. It fits into a datagram.
type Summary struct {
	From     vaneyoke.VMID
	Sequence uint64        // rises with each summary of the sender
	Down     bool          // whether it holds the totals of the fleet
	Root     Hash          // if Down: the node that added them up
	Age      time.Duration // if Down: time since then
	Height   int           // otherwise: levels of the tree below the sender
	Acked    uint64        // otherwise: Sequence of the last totals that the sender has received from the parent
	Nodes    int           // nodes whose demand is included
	Services []ServiceShare
}

// Hash is a hash of a name, which takes less of a summary than the name.
type Hash uint32

func hashOf[S ~string](name S) Hash {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return Hash(hash.Sum32())
}

// ServiceShare is the demand for a service in a summary.
type ServiceShare struct {
	Service    vaneyoke.ServiceID
	Urgencies  []UrgencyFlow
	Workspaces []WorkspaceFlow // those with the most demand
	Others     Flow            // of all other workspaces together
	Sketch     Sketch          // of the names of all workspaces with demand
	Active     int             // if Down, in place of the fields on workspaces: the number of those with demand
	Overused   []Overuse       // if Down: those over their fair share
}

// Overuse tells that a workspace is over its fair share.
type Overuse struct {
	Workspace Hash
	Ratio     float64 // of what it had admitted to its share
}

// UrgencyFlow is the demand at one urgency.
type UrgencyFlow struct {
	Urgency Urgency
	Flow
}

// WorkspaceFlow is the demand of one workspace.
type WorkspaceFlow struct {
	Workspace vaneyoke.WorkspaceID
	Flow
}

// wanted returns the tokens that would be admitted within a second if there were room.
func (f Flow) wanted() vaneyoke.Tokens { return max(f.Offered, f.Admitted) + f.Waiting }

// waitTolerance is the wait that callers do not notice: a thirtieth of the latency goal of routes that declare none.
const waitTolerance = 100 * time.Millisecond

// contended reports whether some of the demand was rejected, or more waits than is admitted within waitTolerance.
func (f Flow) contended() bool {
	return f.Rejected > 0 || float64(f.Waiting) > waitTolerance.Seconds()*float64(f.Admitted)
}

// plus adds a flow that may have come from elsewhere.
func (f Flow) plus(other Flow) Flow {
	other = other.clamped()
	return Flow{
		Offered: f.Offered + other.Offered, Admitted: f.Admitted + other.Admitted, Waiting: f.Waiting + other.Waiting, Rejected: f.Rejected + other.Rejected,
	}.clamped()
}

func (f Flow) clamped() Flow {
	return Flow{Offered: clamp(f.Offered, maxFlow), Admitted: clamp(f.Admitted, maxFlow), Waiting: clamp(f.Waiting, maxFlow), Rejected: clamp(f.Rejected, maxFlow)}
}

// clamp bounds a count that came from elsewhere. Sums of clamped counts do not overflow.
func clamp[N ~int](n, most N) N { return max(0, min(n, most)) }

func validName[S ~string](name S) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(string(name))
}

// contended reports whether the demand for a service is not met.
func (s *ServiceShare) contended() bool {
	var all Flow
	for _, u := range s.Urgencies {
		all = all.plus(u.Flow)
	}
	return all.contended()
}

// wanted returns the demand for a service.
func (s *ServiceShare) wanted() (sum vaneyoke.Tokens) {
	for _, u := range s.Urgencies {
		sum += u.wanted()
	}
	return sum
}

// byDemand orders workspaces by their demand, the highest first.
func byDemand(a, b WorkspaceFlow) int {
	return cmp.Or(cmp.Compare(b.wanted(), a.wanted()), cmp.Compare(a.Workspace, b.Workspace))
}
