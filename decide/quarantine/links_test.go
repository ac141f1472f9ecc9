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

// giveTables gives a node that starts the store's rows, or those that another node holds.
func (w *world) giveTables(i int) {
	if !w.storeOff && !w.nodes[i].cut {
		w.setRows(i, w.rows)
		return
	}
	for j, other := range w.nodes {
		if j != i && w.reaches(i, j) && other.rows != nil {
			w.setRows(i, other.rows)
			return
		}
	}
	w.after(settle, func() { w.giveTables(i) })
}

func (w *world) setRows(i int, rows map[vaneyoke.ContentID]quarantine.Row) {
	n := w.nodes[i]
	n.rows = rows
	list := make([]quarantine.Row, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b quarantine.Row) int { return cmp.Compare(a.Content, b.Content) })
	w.handle(i, quarantine.Recorded{Rows: list})
}

func (w *world) reaches(i, j int) bool {
	return w.runs(i) && w.runs(j) && !w.nodes[i].cut && !w.nodes[j].cut
}

// makeTree has the nodes that run and are not cut off tell one another along a tree.
func (w *world) makeTree() {
	var in []int
	for i, n := range w.nodes {
		if !w.now.Before(n.upAt) && !n.cut {
			in = append(in, i)
		}
	}
	if len(in) > 0 {
		w.reader = in[0]
	}
	for place, i := range in {
		var neighbours []vaneyoke.VMID
		if place > 0 {
			neighbours = append(neighbours, vm(in[(place-1)/fanOut]))
		}
		for child := place*fanOut + 1; child <= place*fanOut+fanOut && child < len(in); child++ {
			neighbours = append(neighbours, vm(in[child]))
		}
		w.nodes[i].gossip.Handle(w.now, gossip.NeighboursUpdated{VMs: neighbours})
	}
	w.treeAt = time.Time{}
}

func (w *world) handle(i int, ev quarantine.Event) {
	n := w.nodes[i]
	effects := slices.Clone(n.state.Handle(w.now, ev))
	slices.SortStableFunc(effects, func(a, b quarantine.Effect) int { return cmp.Compare(contentOf(a), contentOf(b)) }) // so that a seed plays again
	for _, effect := range effects {
		switch e := effect.(type) {
		case quarantine.Tell:
			w.gossip(i, gossip.Observed{Upstream: e.Crash.Upstream, Kind: gossip.KindCrash, Run: gossip.Run{Content: e.Content, Incarnation: e.Crash.Incarnation, PriorCrashes: e.Crash.Again}})
		case quarantine.TellSurvived:
			w.gossip(i, gossip.Observed{Kind: gossip.KindSurvived, Run: gossip.Run{Content: e.Content}})
		case quarantine.Write:
			w.callStore(i, func() { w.write(e.Row) })
		case quarantine.Remove:
			w.callStore(i, func() { w.remove(e) })
		case quarantine.Bar:
			w.sends = slices.DeleteFunc(w.sends, func(s send) bool { return s.node == i && e.Content == poison })
		}
	}
}

// contentOf returns the content that an effect is about.
func contentOf(effect quarantine.Effect) vaneyoke.ContentID {
	switch e := effect.(type) {
	case quarantine.Bar:
		return e.Content
	case quarantine.Lift:
		return e.Content
	case quarantine.Tell:
		return e.Content
	case quarantine.TellSurvived:
		return e.Content
	case quarantine.Write:
		return e.Row.Content
	case quarantine.Remove:
		return e.Content
	default:
		return ""
	}
}

func (w *world) gossip(i int, ev gossip.Event) {
	n := w.nodes[i]
	for _, effect := range slices.Clone(n.gossip.Handle(w.now, ev)) {
		switch e := effect.(type) {
		case gossip.ApplySighting:
			if e.Sighting.Kind == gossip.KindSurvived {
				w.handle(i, quarantine.HeardSurvived{Content: e.Sighting.Content})
				continue
			}
			w.handle(i, quarantine.Heard{
				Content: e.Sighting.Content, By: e.Sighting.Origin, Next: e.Sighting.Hops == 1,
				Crash: quarantine.Crash{Upstream: e.Sighting.Upstream, Incarnation: e.Sighting.Incarnation, Again: e.Sighting.PriorCrashes},
			})
		case gossip.SendSightings:
			n.told++
			w.datagrams++
			w.busiest = max(w.busiest, n.told)
			var to int
			_, _ = fmt.Sscanf(string(e.To), "vm%d", &to)
			if w.rng.Float64() >= w.loss {
				w.flying = append(w.flying, letter{w.now.Add(onWay), i, to, slices.Clone(e.Sightings)})
			}
		}
	}
}

func (w *world) callStore(i int, do func()) {
	w.writes++
	if w.storeOff || w.nodes[i].cut {
		return
	}
	w.after(storeHop, func() {
		if !w.storeOff {
			do()
		}
	})
}

func (w *world) write(row quarantine.Row) {
	if w.rows[row.Content].Revision != row.Revision {
		return
	}
	w.revision++
	row.Revision = w.revision
	w.rows = with(w.rows, row.Content, &row)
	w.spread()
}

func (w *world) remove(e quarantine.Remove) {
	if w.rows[e.Content].Revision != e.Revision {
		return
	}
	w.revision++
	w.rows = with(w.rows, e.Content, nil)
	w.spread()
}

func with(rows map[vaneyoke.ContentID]quarantine.Row, content vaneyoke.ContentID, row *quarantine.Row) map[vaneyoke.ContentID]quarantine.Row {
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

// spread has the rows reach the nodes along the tree.
func (w *world) spread() {
	rows := w.rows
	for i := range w.nodes {
		levels := 1
		for place := i; place > 0; place = (place - 1) / fanOut {
			levels++
		}
		life := w.nodes[i].life
		w.after(gather+time.Duration(levels)*storeHop, func() { w.take(i, life, rows) })
	}
}

// take gives a node rows; one that stands still or is cut off takes them once it can.
func (w *world) take(i, life int, rows map[vaneyoke.ContentID]quarantine.Row) {
	n := w.nodes[i]
	switch {
	case n.life != life:
	case n.cut || !w.runs(i):
		w.after(settle, func() { w.take(i, life, w.rows) })
	default:
		w.setRows(i, rows)
	}
}
