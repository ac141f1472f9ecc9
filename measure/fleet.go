package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/catalog"
	"github.com/vaneyoke/vaneyoke/fleet"
	"github.com/vaneyoke/vaneyoke/standin"
	"github.com/vaneyoke/vaneyoke/store"
)

// watched is how long an idle fleet is watched.
const watched = 4 * time.Second

// idle is what a fleet cost while no caller asked anything.
type idle struct {
	bytes  float64 // control bytes a second and node
	core   float64 // percent of a core for each node, the platform's stand-in among it
	reads  float64 // reads of the platform a second, all nodes together
	memory float64 // heap of all nodes
}

// nodeCounters are the counters that a node tells.
type nodeCounters struct {
	Sent     float64 `json:"control_sent_bytes_total"`
	Received float64 `json:"control_received_bytes_total"`
}

func controlBytes(ctx context.Context, f *fleet.Fleet) (float64, error) {
	total := 0.0
	for _, n := range f.Nodes {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.AdminURL()+"/debug/vars", nil)
		if err != nil {
			return 0, err
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		var c nodeCounters
		err = json.NewDecoder(res.Body).Decode(&c)
		_ = res.Body.Close()
		if err != nil {
			return 0, err
		}
		total += c.Sent + c.Received
	}
	return total, nil
}

// watch starts a fleet of idle nodes and tells what it costs; down says that the platform's table cannot be reached.
func watch(ctx context.Context, nodes int, down bool) (idle, error) {
	before := heapBytes()
	f, err := fleet.Start(ctx, fleet.Config{
		Nodes: nodes, Engines: 1, Members: true, Engine: standin.DefaultEngineConfig(),
		Recovery: vaneyoke.RecoverFast, Log: io.Discard, LogLevel: "error", Trace: "off",
	})
	if err != nil {
		return idle{}, err
	}
	defer f.Close()
	f.Platform.SetDown(down)
	time.Sleep(time.Second)
	bytesBefore, err := controlBytes(ctx, f)
	if err != nil {
		return idle{}, err
	}
	reads, used := f.Platform.Stats().Reads, processorTime()
	time.Sleep(watched)
	spent := (processorTime() - used).Seconds()
	bytesAfter, err := controlBytes(ctx, f)
	n := float64(nodes)
	return idle{
		bytes:  (bytesAfter - bytesBefore) / watched.Seconds() / n,
		core:   100 * spent / watched.Seconds() / n,
		reads:  float64(f.Platform.Stats().Reads-reads) / watched.Seconds(),
		memory: heapBytes() - before,
	}, err
}

// idleFleet measures fleets of idle nodes.
func idleFleet(ctx context.Context, sizes []int) ([]Series, error) {
	bytes := Series{Name: "idle_bytes", X: "nodes", Y: "control bytes a second and node"}
	core := Series{Name: "idle_core", X: "nodes", Y: "percent of a core for each node, stand-ins included"}
	reads := Series{Name: "idle_reads", X: "nodes", Y: "reads of the table a second, whole fleet"}
	memory := Series{Name: "idle_memory", X: "nodes", Y: "heap of all nodes in bytes"}
	for _, nodes := range sizes {
		x := float64(nodes)
		cost, err := watch(ctx, nodes, false)
		if err != nil {
			return nil, err
		}
		bytes.Points = append(bytes.Points, Point{x, cost.bytes})
		core.Points = append(core.Points, Point{x, cost.core})
		reads.Points = append(reads.Points, Point{x, cost.reads})
		memory.Points = append(memory.Points, Point{x, cost.memory})
	}
	return []Series{bytes, core, reads, memory}, nil
}

// outageFleet measures fleets whose store is down, so that all nodes ask one another.
func outageFleet(ctx context.Context, sizes []int) ([]Series, error) {
	bytes := Series{Name: "outage_bytes", X: "nodes", Y: "control bytes a second and node while the store is down"}
	core := Series{Name: "outage_core", X: "nodes", Y: "percent of a core for each node while the store is down, stand-ins included"}
	for _, nodes := range sizes {
		cost, err := watch(ctx, nodes, true)
		if err != nil {
			return nil, err
		}
		bytes.Points = append(bytes.Points, Point{float64(nodes), cost.bytes})
		core.Points = append(core.Points, Point{float64(nodes), cost.core})
	}
	return []Series{bytes, core}, nil
}

// countedTable counts the bytes of the rows that are read.
type countedTable struct {
	store.Table
	bytes int
}

// Get reads and counts.
func (c *countedTable) Get(ctx context.Context, key store.Key) (store.Row, error) {
	row, err := c.Table.Get(ctx, key)
	c.bytes += len(row.Value)
	return row, err
}

// Scan reads and counts.
func (c *countedTable) Scan(ctx context.Context, partition, after string, limit int) (store.Page, error) {
	page, err := c.Table.Scan(ctx, partition, after, limit)
	for _, row := range page.Rows {
		c.bytes += len(row.Value)
	}
	return page, err
}

// changeBytes is what one change has a node read, with all rows read and with just the changed ones.
func changeBytes(ctx context.Context) ([]Series, error) {
	whole := Series{Name: "change_whole", X: "workspaces", Y: "bytes of rows that a node reads in all at a change"}
	caught := Series{Name: "change_caught_up", X: "workspaces", Y: "bytes of rows that a node reads to catch up with a change"}
	for _, workspaces := range []int{10, 100, 1000, 5300} {
		table, err := filledTable(ctx, workspaces)
		if err != nil {
			return nil, err
		}
		old, err := catalog.Read(ctx, table, catalog.New(catalog.Content{}))
		if err != nil {
			return nil, err
		}
		u := vaneyoke.Upstream{ID: "engine-1", Kind: vaneyoke.KindEngine, URL: "http://127.0.0.1:1", State: vaneyoke.StateLive, Models: []vaneyoke.ModelID{"m"}}
		if _, err := catalog.Apply(ctx, table, catalog.Change{Partition: catalog.PartitionUpstreams, ID: "engine-1", Value: u}); err != nil {
			return nil, err
		}
		for series, from := range map[*Series]*catalog.Snapshot{&whole: catalog.New(catalog.Content{}), &caught: old} {
			counted := &countedTable{Table: table}
			if _, err := catalog.Read(ctx, counted, from); err != nil {
				return nil, err
			}
			series.Points = append(series.Points, Point{float64(workspaces), float64(counted.bytes)})
		}
	}
	return []Series{whole, caught}, nil
}

func filledTable(ctx context.Context, workspaces int) (store.Table, error) {
	table := newTable()
	const each = 100
	list := manyWorkspaces(workspaces)
	for start := 0; start < len(list); start += each {
		var changes []catalog.Change
		for _, w := range list[start:min(start+each, len(list))] {
			changes = append(changes, catalog.Change{Partition: catalog.PartitionWorkspaces, ID: string(w.ID), Value: w})
		}
		if _, err := catalog.Apply(ctx, table, changes...); err != nil {
			return nil, fmt.Errorf("fill the table: %w", err)
		}
	}
	return table, nil
}
