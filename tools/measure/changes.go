package measure

import (
	"context"
	"fmt"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// countingTable is a table that counts the bytes of the rows that are read.
type countingTable struct {
	store.Table
	bytes int
}

// Get reads a row and counts its bytes.
func (c *countingTable) Get(ctx context.Context, key store.Key) (store.Row, error) {
	row, err := c.Table.Get(ctx, key)
	c.bytes += len(row.Value)
	return row, err
}

// Scan reads a page of rows and counts their bytes.
func (c *countingTable) Scan(ctx context.Context, partition, after string, limit int) (store.Page, error) {
	page, err := c.Table.Scan(ctx, partition, after, limit)
	for _, row := range page.Rows {
		c.bytes += len(row.Value)
	}
	return page, err
}

// changeReadBytes measures the bytes that a node reads after one change, if it reads all rows and if it reads only the changed ones.
func changeReadBytes(ctx context.Context) ([]Series, error) {
	full := Series{Name: "change_whole", X: "workspaces", Y: "bytes of rows that a node reads in all at a change"}
	incremental := Series{Name: "change_caught_up", X: "workspaces", Y: "bytes of rows that a node reads to catch up with a change"}
	for _, workspaces := range []int{10, 100, 1000, 5300} {
		table, err := newFilledTable(ctx, workspaces)
		if err != nil {
			return nil, err
		}
		previous, err := catalog.Read(ctx, table, catalog.New(catalog.Content{}))
		if err != nil {
			return nil, err
		}
		u := vaneyoke.Upstream{ID: "engine-1", Kind: vaneyoke.KindEngine, URL: "http://127.0.0.1:1", State: vaneyoke.StateLive, Models: []vaneyoke.ModelID{"m"}}
		if _, err := catalog.Apply(ctx, table, catalog.Change{Partition: catalog.PartitionUpstreams, ID: "engine-1", Value: u}); err != nil {
			return nil, err
		}
		for series, from := range map[*Series]*catalog.Snapshot{&full: catalog.New(catalog.Content{}), &incremental: previous} {
			counted := &countingTable{Table: table}
			if _, err := catalog.Read(ctx, counted, from); err != nil {
				return nil, err
			}
			series.Points = append(series.Points, Point{float64(workspaces), float64(counted.bytes)})
		}
	}
	return []Series{full, incremental}, nil
}

func newFilledTable(ctx context.Context, workspaces int) (store.Table, error) {
	table := newTable()
	const batchSize = 100
	list := manyWorkspaces(workspaces)
	for start := 0; start < len(list); start += batchSize {
		var changes []catalog.Change
		for _, w := range list[start:min(start+batchSize, len(list))] {
			changes = append(changes, catalog.Change{Partition: catalog.PartitionWorkspaces, ID: string(w.ID), Value: w})
		}
		if _, err := catalog.Apply(ctx, table, changes...); err != nil {
			return nil, fmt.Errorf("fill the table: %w", err)
		}
	}
	return table, nil
}
