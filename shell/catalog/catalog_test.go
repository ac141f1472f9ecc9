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

// TestCatchingUpGivesWhatReadingAllGives makes random changes, and reads after some of them.
func TestCatchingUpGivesWhatReadingAllGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := memory.New()
		seen := map[string]store.Version{}
		held := catalog.New(catalog.Content{})
		ctx := t.Context()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "id"))
			partition := rapid.SampledFrom([]string{catalog.PartitionWorkspaces, catalog.PartitionUpstreams, catalog.PartitionNodes, catalog.PartitionPolicies}).Draw(t, "partition")
			change := catalog.Change{Partition: partition, ID: id, ExpectedVersion: seen[partition+id]}
			if change.ExpectedVersion == 0 || rapid.IntRange(0, 3).Draw(t, "put") > 0 {
				change.Value = valueOf(partition, id, i)
			}
			_, err := catalog.Apply(ctx, table, change)
			must.NoError(t, err)
			seen[partition+id]++
			if change.Value == nil {
				seen[partition+id] = 0
			}
			if rapid.IntRange(0, 2).Draw(t, "read") > 0 {
				continue
			}
			caught, err := catalog.Read(ctx, table, held)
			must.NoError(t, err)
			all, err := catalog.Read(ctx, table, catalog.New(catalog.Content{}))
			must.NoError(t, err)
			must.EqOp(t, fmt.Sprintf("%+v", all.Content), fmt.Sprintf("%+v", caught.Content))
			held = caught
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
