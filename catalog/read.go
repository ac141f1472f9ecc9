package catalog

import (
	"context"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/platform"
)

// ReadRevision returns the newest accepted revision, 0 before the first change.
func ReadRevision(ctx context.Context, table platform.Table) (vaneyoke.Revision, error) {
	row, err := table.Get(ctx, RevisionKey)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound {
		return 0, nil
	}
	return vaneyoke.Revision(row.Version), err
}

// Read returns the configuration as of one revision; a change in the middle of the reading is told as a race.
func Read(ctx context.Context, table platform.Table) (*Snapshot, error) {
	before, err := ReadRevision(ctx, table)
	if err != nil {
		return nil, err
	}
	upstreams, err := readAll[vaneyoke.Upstream](ctx, table, PartitionUpstreams)
	if err != nil {
		return nil, err
	}
	workspaces, err := readAll[vaneyoke.Workspace](ctx, table, PartitionWorkspaces)
	if err != nil {
		return nil, err
	}
	after, err := ReadRevision(ctx, table)
	if err != nil {
		return nil, err
	}
	if after != before {
		return nil, vaneyoke.Err(vaneyoke.CodeStoreRace, "revision went from %d to %d while it was read", before, after)
	}
	return New(after, upstreams, workspaces), nil
}

func readAll[T any](ctx context.Context, table platform.Table, partition string) ([]T, error) {
	rows, err := platform.ScanAll(ctx, table, partition)
	if err != nil {
		return nil, err
	}
	return Decode[T](rows)
}
