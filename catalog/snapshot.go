package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/platform"
)

// Partitions of the table that hold the configuration.
const (
	PartitionFleet      = "fleet"
	PartitionUpstreams  = "upstream"
	PartitionWorkspaces = "workspace"
)

// RevisionKey is the row that every accepted change writes.
var RevisionKey = platform.Key{Partition: PartitionFleet, ID: "revision"}

// Snapshot is the configuration as of one revision.
type Snapshot struct {
	Revision   vaneyoke.Revision
	Upstreams  []vaneyoke.Upstream
	Workspaces map[vaneyoke.WorkspaceID]vaneyoke.Workspace
	holders    map[vaneyoke.KeyHash]Holder
}

// Holder is whom a key speaks for.
type Holder struct {
	Workspace vaneyoke.WorkspaceID
	Role      vaneyoke.Role
}

// HashKey returns the form in which a caller's key is kept.
func HashKey(key string) vaneyoke.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return vaneyoke.KeyHash(hex.EncodeToString(sum[:]))
}

// New returns a snapshot of the given configuration.
func New(revision vaneyoke.Revision, upstreams []vaneyoke.Upstream, workspaces []vaneyoke.Workspace) *Snapshot {
	s := &Snapshot{
		Revision:   revision,
		Upstreams:  upstreams,
		Workspaces: make(map[vaneyoke.WorkspaceID]vaneyoke.Workspace, len(workspaces)),
		holders:    map[vaneyoke.KeyHash]Holder{},
	}
	for _, w := range workspaces {
		s.Workspaces[w.ID] = w
		for _, k := range w.Keys {
			s.holders[k.Hash] = Holder{Workspace: w.ID, Role: k.Role}
		}
	}
	return s
}

// Holder returns whom a caller's key speaks for.
func (s *Snapshot) Holder(key string) (Holder, bool) {
	h, ok := s.holders[HashKey(key)]
	return h, ok
}

// Decode reads the rows of one partition.
func Decode[T any](rows []platform.Row) ([]T, error) {
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
