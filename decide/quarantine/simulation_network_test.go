package quarantine_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/decide/quarantine"
)

// loadRows gives a starting node the store's rows, or those of another node if the store is unavailable.
func (sim *simulation) loadRows(i int) {
	if !sim.storeDown && !sim.nodes[i].partitioned {
		sim.setRows(i, sim.rows)
		return
	}
	for j, other := range sim.nodes {
		if j != i && sim.reaches(i, j) && other.rows != nil {
			sim.setRows(i, other.rows)
			return
		}
	}
	sim.schedule(treeRebuildDelay, func() { sim.loadRows(i) })
}

func (sim *simulation) setRows(i int, rows map[vaneyoke.ContentID]quarantine.Row) {
	n := sim.nodes[i]
	n.rows = rows
	list := make([]quarantine.Row, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b quarantine.Row) int { return cmp.Compare(a.Content, b.Content) })
	sim.handle(i, quarantine.RowsUpdated{Rows: list})
}

func (sim *simulation) reaches(i, j int) bool {
	return sim.isRunning(i) && sim.isRunning(j) && !sim.nodes[i].partitioned && !sim.nodes[j].partitioned
}

// buildTree connects the nodes that are running and not partitioned in a tree.
func (sim *simulation) buildTree() {
	var members []int
	for i, n := range sim.nodes {
		if !sim.now.Before(n.upAt) && !n.partitioned {
			members = append(members, i)
		}
	}
	if len(members) > 0 {
		sim.reader = members[0]
	}
	for position, i := range members {
		var neighbours []vaneyoke.VMID
		if position > 0 {
			neighbours = append(neighbours, vm(members[(position-1)/fanOut]))
		}
		for child := position*fanOut + 1; child <= position*fanOut+fanOut && child < len(members); child++ {
			neighbours = append(neighbours, vm(members[child]))
		}
		sim.nodes[i].gossip.Handle(sim.now, gossip.NeighboursUpdated{VMs: neighbours})
	}
	sim.rebuildTreeAt = time.Time{}
}

func (sim *simulation) handle(i int, ev quarantine.Event) {
	n := sim.nodes[i]
	effects := slices.Clone(n.state.Handle(sim.now, ev))
	slices.SortStableFunc(effects, func(a, b quarantine.Effect) int { return cmp.Compare(contentOf(a), contentOf(b)) }) // so that a seed is reproducible
	for _, effect := range effects {
		switch e := effect.(type) {
		case quarantine.BroadcastCrash:
			sim.gossip(i, gossip.Observed{Upstream: e.Crash.Upstream, Kind: gossip.KindCrash, Run: gossip.Run{Content: e.Content, Incarnation: e.Crash.Incarnation, PriorCrashes: e.Crash.PriorCrashes}})
		case quarantine.BroadcastCompletion:
			sim.gossip(i, gossip.Observed{Kind: gossip.KindSurvived, Run: gossip.Run{Content: e.Content}})
		case quarantine.WriteRow:
			sim.callStore(i, func() { sim.write(e.Row) })
		case quarantine.RemoveRow:
			sim.callStore(i, func() { sim.remove(e) })
		case quarantine.Block:
			sim.queued = slices.DeleteFunc(sim.queued, func(s queuedRequest) bool { return s.node == i && e.Content == poison })
		}
	}
}

// contentOf returns the content of an effect.
func contentOf(effect quarantine.Effect) vaneyoke.ContentID {
	switch e := effect.(type) {
	case quarantine.Block:
		return e.Content
	case quarantine.Unblock:
		return e.Content
	case quarantine.BroadcastCrash:
		return e.Content
	case quarantine.BroadcastCompletion:
		return e.Content
	case quarantine.WriteRow:
		return e.Row.Content
	case quarantine.RemoveRow:
		return e.Content
	default:
		return ""
	}
}

func (sim *simulation) gossip(i int, ev gossip.Event) {
	n := sim.nodes[i]
	for _, effect := range slices.Clone(n.gossip.Handle(sim.now, ev)) {
		switch e := effect.(type) {
		case gossip.ApplySighting:
			if e.Sighting.Kind == gossip.KindSurvived {
				sim.handle(i, quarantine.CompletionReported{Content: e.Sighting.Content})
				continue
			}
			sim.handle(i, quarantine.CrashReported{
				Content: e.Sighting.Content, Origin: e.Sighting.Origin, FromNeighbour: e.Sighting.Hops == 1,
				Crash: quarantine.Crash{Upstream: e.Sighting.Upstream, Incarnation: e.Sighting.Incarnation, PriorCrashes: e.Sighting.PriorCrashes},
			})
		case gossip.SendSightings:
			n.sentDatagrams++
			sim.datagrams++
			sim.maxPerNode = max(sim.maxPerNode, n.sentDatagrams)
			var to int
			_, _ = fmt.Sscanf(string(e.To), "vm%d", &to)
			if sim.rng.Float64() >= sim.lossRate {
				sim.inFlight = append(sim.inFlight, datagram{sim.now.Add(datagramDelay), i, to, slices.Clone(e.Sightings)})
			}
		}
	}
}

func (sim *simulation) callStore(i int, do func()) {
	sim.writes++
	if sim.storeDown || sim.nodes[i].partitioned {
		return
	}
	sim.schedule(storeDelay, func() {
		if !sim.storeDown {
			do()
		}
	})
}

func (sim *simulation) write(row quarantine.Row) {
	if sim.rows[row.Content].Revision != row.Revision {
		return
	}
	sim.revision++
	row.Revision = sim.revision
	sim.rows = withRow(sim.rows, row.Content, &row)
	sim.distributeRows()
}

func (sim *simulation) remove(e quarantine.RemoveRow) {
	if sim.rows[e.Content].Revision != e.Revision {
		return
	}
	sim.revision++
	sim.rows = withRow(sim.rows, e.Content, nil)
	sim.distributeRows()
}

func withRow(rows map[vaneyoke.ContentID]quarantine.Row, content vaneyoke.ContentID, row *quarantine.Row) map[vaneyoke.ContentID]quarantine.Row {
	all := make(map[vaneyoke.ContentID]quarantine.Row, len(rows)+1)
	for c, r := range rows {
		all[c] = r
	}
	delete(all, content)
	if row != nil {
		all[content] = *row
	}
	return all
}

// distributeRows sends the rows to all nodes along the tree.
func (sim *simulation) distributeRows() {
	rows := sim.rows
	for i := range sim.nodes {
		levels := 1
		for position := i; position > 0; position = (position - 1) / fanOut {
			levels++
		}
		epoch := sim.nodes[i].epoch
		sim.schedule(batchDelay+time.Duration(levels)*storeDelay, func() { sim.receiveRows(i, epoch, rows) })
	}
}

// receiveRows gives rows to a node; one that is frozen or partitioned receives them later.
func (sim *simulation) receiveRows(i, epoch int, rows map[vaneyoke.ContentID]quarantine.Row) {
	n := sim.nodes[i]
	switch {
	case n.epoch != epoch:
	case n.partitioned || !sim.isRunning(i):
		sim.schedule(treeRebuildDelay, func() { sim.receiveRows(i, epoch, sim.rows) })
	default:
		sim.setRows(i, rows)
	}
}
