package catalog

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/platform"
)

// Change is one write to the configuration, guarded by the version that its author saw.
type Change struct {
	Partition string
	ID        string
	Value     any // nil deletes the row
	Seen      platform.Version
}

// Apply commits changes together with the next revision, and returns that revision.
// A race is told with CodeStoreRace, and a change whose outcome is not known with CodeStoreUnknown.
func Apply(ctx context.Context, table platform.Table, changes ...Change) (vaneyoke.Revision, error) {
	revision, err := ReadRevision(ctx, table)
	if err != nil {
		return 0, err
	}
	tx := platform.Tx{Nonce: platform.Nonce(uuid.NewString())}
	next := platform.Condition{Version: platform.Version(revision)}
	tx.Writes = append(tx.Writes, platform.Put{Key: RevisionKey, Value: []byte("{}"), If: next})
	for _, c := range changes {
		write, err := c.write()
		if err != nil {
			return 0, err
		}
		tx.Writes = append(tx.Writes, write)
	}
	if err := platform.CommitSettled(ctx, table, tx); err != nil {
		return 0, err
	}
	return revision + 1, nil
}

func (c Change) write() (platform.Write, error) {
	key := platform.Key{Partition: c.Partition, ID: c.ID}
	cond := platform.Condition{Version: c.Seen}
	if c.Value == nil {
		return platform.Delete{Key: key, If: cond}, nil
	}
	value, err := json.Marshal(c.Value)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeBadRequest, err, "%s %s", c.Partition, c.ID)
	}
	return platform.Put{Key: key, Value: value, If: cond}, nil
}
