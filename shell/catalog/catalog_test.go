package catalog_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/memory"
)

// TestIncrementalReadEqualsFullRead makes random changes, and compares an incremental with a full read after some of them.
func TestIncrementalReadEqualsFullRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := memory.New()
		versions := map[string]store.Version{}
		previous := catalog.New(catalog.Content{})
		ctx := t.Context()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "id"))
			partition := rapid.SampledFrom([]string{catalog.PartitionWorkspaces, catalog.PartitionUpstreams, catalog.PartitionNodes, catalog.PartitionPolicies}).Draw(t, "partition")
			change := catalog.Change{Partition: partition, ID: id, ExpectedVersion: versions[partition+id]}
			if change.ExpectedVersion == 0 || rapid.IntRange(0, 3).Draw(t, "put") > 0 {
				change.Value = valueOf(partition, id, i)
			}
			_, err := catalog.Apply(ctx, table, change)
			must.NoError(t, err)
			versions[partition+id]++
			if change.Value == nil {
				versions[partition+id] = 0
			}
			if rapid.IntRange(0, 2).Draw(t, "read") > 0 {
				continue
			}
			incremental, err := catalog.Read(ctx, table, previous)
			must.NoError(t, err)
			full, err := catalog.Read(ctx, table, catalog.New(catalog.Content{}))
			must.NoError(t, err)
			must.EqOp(t, fmt.Sprintf("%+v", full.Content), fmt.Sprintf("%+v", incremental.Content))
			previous = incremental
		}
	})
}

func valueOf(partition, id string, i int) any {
	switch partition {
	case catalog.PartitionWorkspaces:
		return vaneyoke.Workspace{ID: vaneyoke.WorkspaceID(id), Recovery: vaneyoke.Recovery(fmt.Sprint(i))}
	case catalog.PartitionUpstreams:
		return vaneyoke.Upstream{ID: vaneyoke.UpstreamID(id), Slots: i}
	case catalog.PartitionNodes:
		return catalog.Node{VM: vaneyoke.VMID(id), DataCentre: vaneyoke.DataCentreID(fmt.Sprint(i))}
	default:
		return catalog.Policy{Name: id, Text: fmt.Sprint(i)}
	}
}
