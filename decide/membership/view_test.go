package membership_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/membership"
)

func peers(nodes, dataCentres int) []membership.Peer {
	var list []membership.Peer
	for i := range nodes {
		list = append(list, membership.Peer{VM: vaneyoke.VMID(fmt.Sprintf("vm-%03d", i)), DataCentre: vaneyoke.DataCentreID(fmt.Sprintf("hall-%d", i%dataCentres))})
	}
	return list
}

func TestDirectoryPeersAndBackup(t *testing.T) {
	cases := map[string]struct{ nodes, dataCentres, directoryPeers int }{
		"alone":            {1, 1, 1},
		"one data centre":  {3, 1, 2},
		"two data centres": {2, 2, 2},
		"today":            {7, 3, 2},
		"required size":    {410, 8, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			list := peers(tc.nodes, tc.dataCentres)
			view := membership.NewView(list)
			for i := range 50 {
				directoryPeers := view.DirectoryPeers(fmt.Sprint("key", i))
				must.SliceLen(t, tc.directoryPeers, directoryPeers)
				if tc.directoryPeers == 2 {
					must.NotEqOp(t, directoryPeers[0].VM, directoryPeers[1].VM)
				}
				if tc.dataCentres > 1 {
					must.NotEqOp(t, directoryPeers[0].DataCentre, directoryPeers[1].DataCentre)
				}
			}
			for _, owner := range list {
				backup, ok := view.Backup(owner, nil)
				must.EqOp(t, tc.nodes > 1, ok)
				must.True(t, !ok || backup.VM != owner.VM)
				must.True(t, !ok || tc.dataCentres == 1 || backup.DataCentre != owner.DataCentre)
				second, ok := view.Backup(owner, []vaneyoke.VMID{backup.VM})
				must.True(t, !ok || second.VM != backup.VM)
			}
		})
	}
}

// TestRemovedNodeMovesFewSessions bounds the number of keys that get other directory peers when one of many nodes is removed.
func TestRemovedNodeMovesFewSessions(t *testing.T) {
	const keys, nodes = 2000, 100
	list := peers(nodes, 4)
	before, after := membership.NewView(list), membership.NewView(list[1:])
	moved := 0
	for i := range keys {
		a, b := before.DirectoryPeers(fmt.Sprint(i)), after.DirectoryPeers(fmt.Sprint(i))
		if a[0] != b[0] || a[1] != b[1] {
			moved++
		}
	}
	must.Less(t, 4*keys/nodes, moved)
}
