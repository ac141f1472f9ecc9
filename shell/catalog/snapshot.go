package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// Partitions of the table that hold the configuration.
const (
	PartitionFleet           = "fleet"
	PartitionUpstreams       = "upstream"
	PartitionWorkspaces      = "workspace"
	PartitionPolicies        = "policy"
	PartitionNodes           = "node"
	PartitionAudit           = "audit"
	PartitionChanges         = "change"
	PartitionIdempotencyKeys = "operator-key"
)

// RevisionKey is the row that every accepted change writes.
var RevisionKey = store.Key{Partition: PartitionFleet, ID: "revision"}

// Snapshot is the configuration as of one revision.
type Snapshot struct {
	Content
	workspaceByID map[vaneyoke.WorkspaceID]vaneyoke.Workspace
	principals    map[vaneyoke.KeyHash]Principal
}

// Content is the content of a snapshot, in the form in which nodes exchange it.
type Content struct {
	Revision   vaneyoke.Revision    `json:"revision"`
	Upstreams  []vaneyoke.Upstream  `json:"upstreams"`
	Workspaces []vaneyoke.Workspace `json:"workspaces"`
	Policies   []Policy             `json:"policies"`
	Nodes      []Node               `json:"nodes"`
}

// Policy holds the program of one policy.
type Policy struct {
	Name string    `json:"name"`
	Text string    `json:"text"`
	By   string    `json:"by"` // who changed it last
	At   time.Time `json:"at"`
}

// Node is a member of the fleet, whose confirmation counts for the acceptance of changes.
type Node struct {
	VM         vaneyoke.VMID         `json:"vm"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
}

// Principal is the identity that an API key authenticates.
type Principal struct {
	Workspace vaneyoke.WorkspaceID
	Role      vaneyoke.Role
	Scope     []vaneyoke.WorkspaceID // to which an operator's rights are limited; nil for all
	Hash      vaneyoke.KeyHash
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) vaneyoke.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return vaneyoke.KeyHash(hex.EncodeToString(sum[:]))
}

// New returns a snapshot of the given configuration.
func New(content Content) *Snapshot {
	s := &Snapshot{
		Content:       content,
		workspaceByID: make(map[vaneyoke.WorkspaceID]vaneyoke.Workspace, len(content.Workspaces)),
		principals:    map[vaneyoke.KeyHash]Principal{},
	}
	for _, w := range content.Workspaces {
		s.workspaceByID[w.ID] = w
		for _, k := range w.Keys {
			s.principals[k.Hash] = Principal{Workspace: w.ID, Role: k.Role, Scope: k.Scope, Hash: k.Hash}
		}
	}
	return s
}

// Workspace returns a workspace by its id.
func (s *Snapshot) Workspace(id vaneyoke.WorkspaceID) (vaneyoke.Workspace, bool) {
	w, ok := s.workspaceByID[id]
	return w, ok
}

// Members returns the VMs whose confirmation counts for the acceptance of changes.
func (s *Snapshot) Members() []vaneyoke.VMID {
	return lo.Map(s.Nodes, func(n Node, _ int) vaneyoke.VMID { return n.VM })
}

// Principal returns the identity that a caller's key authenticates.
func (s *Snapshot) Principal(key string) (Principal, bool) {
	p, ok := s.principals[HashKey(key)]
	return p, ok
}

// Decode decodes rows of one partition.
func Decode[T any](rows []store.Row) ([]T, error) {
	values := make([]T, 0, len(rows))
	for _, row := range rows {
		var v T
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return nil, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "row %s/%s", row.Key.Partition, row.Key.ID)
		}
		values = append(values, v)
	}
	return values, nil
}
