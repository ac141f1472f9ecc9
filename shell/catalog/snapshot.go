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
	byID    map[vaneyoke.WorkspaceID]vaneyoke.Workspace
	holders map[vaneyoke.KeyHash]Principal
}

// Content is what a snapshot holds, in the form in which nodes tell it to one another.
type Content struct {
	Revision   vaneyoke.Revision    `json:"revision"`
	Upstreams  []vaneyoke.Upstream  `json:"upstreams"`
	Workspaces []vaneyoke.Workspace `json:"workspaces"`
	Policies   []Policy             `json:"policies"`
	Nodes      []Node               `json:"nodes"`
}

// Policy is the program of one policy.
type Policy struct {
	Name string    `json:"name"`
	Text string    `json:"text"`
	By   string    `json:"by"` // who changed it last
	At   time.Time `json:"at"`
}

// Node is a member of the fleet, whose confirmation counts when changes are accepted.
type Node struct {
	VM         vaneyoke.VMID         `json:"vm"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
}

// Principal is whom a key speaks for.
type Principal struct {
	Workspace vaneyoke.WorkspaceID
	Role      vaneyoke.Role
	Scope     []vaneyoke.WorkspaceID // that an operator's rights are bound to; nil for all
	Hash      vaneyoke.KeyHash
}

// HashKey returns the form in which a caller's key is kept.
func HashKey(key string) vaneyoke.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return vaneyoke.KeyHash(hex.EncodeToString(sum[:]))
}

// New returns a snapshot of the given configuration.
func New(content Content) *Snapshot {
	s := &Snapshot{
		Content: content,
		byID:    make(map[vaneyoke.WorkspaceID]vaneyoke.Workspace, len(content.Workspaces)),
		holders: map[vaneyoke.KeyHash]Principal{},
	}
	for _, w := range content.Workspaces {
		s.byID[w.ID] = w
		for _, k := range w.Keys {
			s.holders[k.Hash] = Principal{Workspace: w.ID, Role: k.Role, Scope: k.Scope, Hash: k.Hash}
		}
	}
	return s
}

// Workspace returns a workspace by its id.
func (s *Snapshot) Workspace(id vaneyoke.WorkspaceID) (vaneyoke.Workspace, bool) {
	w, ok := s.byID[id]
	return w, ok
}

// Members returns the VMs whose confirmation counts when changes are accepted.
func (s *Snapshot) Members() []vaneyoke.VMID {
	return lo.Map(s.Nodes, func(n Node, _ int) vaneyoke.VMID { return n.VM })
}

// Principal returns whom a caller's key speaks for.
func (s *Snapshot) Principal(key string) (Principal, bool) {
	h, ok := s.holders[HashKey(key)]
	return h, ok
}

// Decode reads the rows of one partition.
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
