package pinning

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// StreamID identifies a stream; another workspace's attempt of the same id is another stream.
type StreamID string

// NewStreamID returns the id of the stream whose first event an attempt of a workspace brought to its caller.
func NewStreamID(workspace vaneyoke.WorkspaceID, attempt vaneyoke.RequestID) StreamID {
	return StreamID(vaneyoke.NewContentID([]byte(workspace), []byte(attempt)))
}

// Software is a software version of a service's upstreams.
type Software struct {
	Service vaneyoke.ServiceID
	Version vaneyoke.SoftwareVersion
}

// Record says which software began a stream.
type Record struct {
	Stream   StreamID
	Software Software
	// Ambiguous says that the record tells nothing: the version is not known, or two streams have the same id and were begun by different software.
	Ambiguous bool
	// Revision is higher in a record that corrects an earlier one of the same node.
	Revision int
	TTL      time.Duration
}

// Basis says why a stream goes on at a software version.
type Basis int

// The bases.
const (
	BasisNone        Basis = iota // it is not known which one began the stream
	BasisOwn                      // this node holds a record of the stream
	BasisPeer                     // another node holds a record of the stream
	BasisOnlyVersion              // only one version can have begun the stream
	BasisAmbiguous                // two streams with this id were begun by different versions, or by one that is not known
	BasisStore                    // the store holds a record of the stream
)

// String returns the basis as it is logged.
func (b Basis) String() string {
	return names.Of(b, "none", "own_record", "peer_record", "only_version", "ambiguous", "store_record")
}

// Origin is what is known of the software that began a stream.
type Origin struct {
	Basis       Basis
	Software    Software      // unless the basis is BasisNone or BasisAmbiguous
	Peer        vaneyoke.VMID // whose record it is; "" for this node
	Candidates  []Software    // that may have begun it, if the basis is BasisNone
	Asked       int           // nodes that were asked
	Answered    int           // nodes that answered
	StoreUnread bool          // whether the store has not answered yet, so that the stream may be known later
	Coverage    time.Duration // for how long some node that was asked, or this one, has known all versions that began streams, if no record was found
}

// IsKnown reports whether the stream can go on.
func (o Origin) IsKnown() bool { return o.Basis != BasisNone && o.Basis != BasisAmbiguous }
