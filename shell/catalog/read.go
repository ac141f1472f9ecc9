package catalog

import (
	"context"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// ReadRevision returns the newest accepted revision, 0 before the first change.
func ReadRevision(ctx context.Context, table store.Table) (vaneyoke.Revision, error) {
	row, err := table.Get(ctx, RevisionKey)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound {
		return 0, nil
	}
	return vaneyoke.Revision(row.Version), err
}

// maxIncrementalRevisions is how many revisions a node catches up with by reading only the rows that they changed.
const maxIncrementalRevisions = 50

// Read returns the configuration as of one revision, reading only what changed since old where possible.
// It returns CodeStoreRace if the configuration changes meanwhile.
func Read(ctx context.Context, table store.Table, old *Snapshot) (*Snapshot, error) {
	before, err := ReadRevision(ctx, table)
	if err != nil {
		return nil, err
	}
	content, err := readSince(ctx, table, old, before)
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

// readSince reads what changed since old, or everything if there are too many changes or their log is incomplete.
func readSince(ctx context.Context, table store.Table, old *Snapshot, revision vaneyoke.Revision) (Content, error) {
	behind := revision - old.Revision
	if old.Revision == 0 || behind > maxIncrementalRevisions {
		return readContent(ctx, table)
	}
	page, err := table.Scan(ctx, PartitionChanges, revisionID(old.Revision), maxIncrementalRevisions+1)
	if err != nil {
		return Content{}, err
	}
	if vaneyoke.Revision(len(page.Rows)) != behind {
		return readContent(ctx, table)
	}
	entries, err := Decode[changeLogEntry](page.Rows)
	if err != nil {
		return Content{}, err
	}
	return patch(ctx, table, old.Content, entries)
}

// patch returns a copy of content with the rows of the entries read again.
func patch(ctx context.Context, table store.Table, content Content, entries []changeLogEntry) (Content, error) {
	keys := lo.Uniq(lo.FlatMap(entries, func(e changeLogEntry, _ int) []store.Key { return e.Keys }))
	for _, key := range keys {
		row, err := table.Get(ctx, key)
		if err != nil && vaneyoke.CodeOf(err) != vaneyoke.CodeNotFound {
			return Content{}, err
		}
		if err := content.setRow(key, row); err != nil {
			return Content{}, err
		}
	}
	return content, nil
}

// setRow replaces, adds or removes one row; lists are copied, because older snapshots share them.
func (c *Content) setRow(key store.Key, row store.Row) error {
	var err error
	switch key.Partition {
	case PartitionUpstreams:
		c.Upstreams, err = replaceRow(c.Upstreams, key.ID, row, func(u vaneyoke.Upstream) string { return string(u.ID) })
	case PartitionWorkspaces:
		c.Workspaces, err = replaceRow(c.Workspaces, key.ID, row, func(w vaneyoke.Workspace) string { return string(w.ID) })
	case PartitionPolicies:
		c.Policies, err = replaceRow(c.Policies, key.ID, row, func(p Policy) string { return p.Name })
	case PartitionNodes:
		c.Nodes, err = replaceRow(c.Nodes, key.ID, row, func(n Node) string { return string(n.VM) })
	}
	return err
}

// replaceRow returns a copy of a list sorted by id, with one member set from its row; a row without a value removes the member.
func replaceRow[T any](list []T, id string, row store.Row, idOf func(T) string) ([]T, error) {
	at, found := slices.BinarySearchFunc(list, id, func(v T, id string) int { return strings.Compare(idOf(v), id) })
	rest := list[at:]
	if found {
		rest = list[at+1:]
	}
	if row.Value == nil {
		return slices.Concat(list[:at], rest), nil
	}
	values, err := Decode[T]([]store.Row{row})
	if err != nil {
		return nil, err
	}
	return slices.Concat(list[:at], values, rest), nil
}

func readContent(ctx context.Context, table store.Table) (Content, error) {
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

func readAll[T any](ctx context.Context, table store.Table, partition string) ([]T, error) {
	rows, err := store.ScanAll(ctx, table, partition)
	if err != nil {
		return nil, err
	}
	return Decode[T](rows)
}
