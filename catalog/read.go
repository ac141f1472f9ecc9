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
	content, err := readContent(ctx, table)
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
	content.Revision = after
	return New(content), nil
}

func readContent(ctx context.Context, table platform.Table) (Content, error) {
	var c Content
	var err error
	if c.Upstreams, err = readAll[vaneyoke.Upstream](ctx, table, PartitionUpstreams); err != nil {
		return c, err
	}
	if c.Workspaces, err = readAll[vaneyoke.Workspace](ctx, table, PartitionWorkspaces); err != nil {
		return c, err
	}
	if c.Policies, err = readAll[Policy](ctx, table, PartitionPolicies); err != nil {
		return c, err
	}
	c.Nodes, err = readAll[Node](ctx, table, PartitionNodes)
	return c, err
}

func readAll[T any](ctx context.Context, table platform.Table, partition string) ([]T, error) {
	rows, err := platform.ScanAll(ctx, table, partition)
	if err != nil {
		return nil, err
	}
	return Decode[T](rows)
}
