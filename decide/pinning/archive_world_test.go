package pinning_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

// worldStore is the store of a world: the records of streams, and which versions may have begun them. Nodes learn of changes after a while.
type worldStore struct {
	w        *world
	rows     map[string]storedRecord
	versions pinning.ServiceVersions
	listed   []vaneyoke.SoftwareVersion
	away     bool
	first    bool // whether the fleet has never run before

	writes, written, reads int
}

type storedRecord struct {
	pinning.Record
	until time.Time
}

const (
	storeDelay  = 4 * time.Millisecond
	learnWithin = 400 * time.Millisecond // in which a node learns of a change
)

// withStore gives a world a store and lists versions.
func (w *world) withStore(listed ...vaneyoke.SoftwareVersion) {
	w.store = &worldStore{w: w, rows: map[string]storedRecord{}, versions: pinning.ServiceVersions{Service: "lm"}, first: true}
	for _, n := range w.nodes {
		n.startArchive()
	}
	w.list(listed...)
}

func (s *worldStore) now() vaneyoke.StoreTime {
	return vaneyoke.StoreTime(s.w.now.Sub(time.Unix(0, 0)))
}

// startArchive makes a starting node keep records in the store; it lists the versions again from there.
func (n *worldNode) startArchive() {
	if n.w.store == nil {
		return
	}
	n.state.EnableArchive()
	n.registry = pinning.NewVersionRegistry()
	n.registry.SetRoutes(n.w.now, map[pinning.RouteName][]vaneyoke.ServiceID{"tell": {"lm"}})
	n.learn(100 * time.Millisecond)
}

// list changes the versions that are listed.
func (w *world) list(versions ...vaneyoke.SoftwareVersion) {
	w.store.listed = versions
	w.store.changed()
	w.after(20*time.Millisecond, w.store.advance)
}

// changed has all nodes learn of a change.
func (s *worldStore) changed() {
	for _, n := range s.w.nodes {
		n.learn(time.Duration(s.w.rng.Int64N(int64(learnWithin))))
	}
}

// learn has a node learn the present state of the store after a while.
func (n *worldNode) learn(after time.Duration) {
	life := n.lives
	listed, versions := n.w.store.listed, n.w.store.versions
	n.w.after(after, func() {
		if !n.up || n.lives != life || n.w.store.away || n.registry == nil {
			return
		}
		var upstreams []vaneyoke.Upstream
		for _, v := range listed {
			upstreams = append(upstreams, vaneyoke.Upstream{Kind: vaneyoke.KindService, Service: "lm", Version: v, State: vaneyoke.StateLive})
		}
		n.registry.SetUpstreams(upstreams)
		if versions.Revision > 0 {
			n.registry.SetRows([]pinning.ServiceVersions{versions})
		}
		n.handle(pinning.VersionsMixed{Services: n.registry.Mixed()})
	})
}

// advance keeps the record of versions up to date, as nodes that read the store do while any is up.
func (s *worldStore) advance() {
	reader := s.w.randomNode()
	if s.away || reader == nil {
		s.w.after(100*time.Millisecond, s.advance)
		return
	}
	config := pinning.VersionsConfig{AdmissionDelay: pinning.AdmissionDelay(len(s.w.nodes)), Retention: 50 * time.Second, Uptime: s.w.now.Sub(reader.since), NoEarlierBuilds: s.first}
	next, changed, due := s.versions.Advance(s.now(), s.listed, config)
	s.first = false
	if changed {
		next.Revision++
		s.versions = next
		s.changed()
	}
	if due > 0 {
		s.w.after(due, s.advance)
	}
}

// admitted returns the versions at which a node begins streams.
func (n *worldNode) admitted() []vaneyoke.SoftwareVersion {
	if n.registry == nil {
		return nil
	}
	listed, announced := n.registry.Listed("lm"), n.registry.Announced()["lm"]
	admitted := slices.DeleteFunc(slices.Clone(listed), func(v vaneyoke.SoftwareVersion) bool { return slices.Contains(announced, v) })
	if len(admitted) == 0 {
		return listed
	}
	return admitted
}

func (n *worldNode) recordedSoftware() (all []pinning.Software, coverage time.Duration) {
	versions, isComplete := n.registry.Candidates("lm")
	for _, v := range versions {
		all = append(all, pinning.Software{Service: "lm", Version: v})
	}
	if isComplete {
		return all, longWatch
	}
	return all, n.w.now.Sub(n.since)
}

func (s *worldStore) write(n *worldNode, w pinning.WriteRecords) {
	life := n.lives
	s.writes++
	s.written += len(w.Put)
	s.w.after(storeDelay, func() {
		if !s.away {
			for _, r := range w.Put {
				s.rows[s.key(n, pinning.RowKey{Stream: r.Stream, Revision: r.Revision})] = storedRecord{r, s.w.now.Add(r.TTL)}
			}
			for _, k := range w.Drop {
				delete(s.rows, s.key(n, k))
			}
		}
		s.answer(n, life, pinning.RecordsWritten{OK: !s.away})
	})
}

func (s *worldStore) key(n *worldNode, k pinning.RowKey) string {
	return fmt.Sprintf("%s/%d.%d", k.Stream, n.number, k.Revision)
}

func (s *worldStore) read(n *worldNode, stream pinning.StreamID) {
	life := n.lives
	s.reads++
	s.w.after(storeDelay, func() {
		var found []pinning.Record
		for _, r := range s.rows {
			if r.Stream == stream && r.until.After(s.w.now) {
				r.TTL = r.until.Sub(s.w.now)
				found = append(found, r.Record)
			}
		}
		if s.away {
			found = nil
		}
		s.answer(n, life, pinning.RecordsRead{Stream: stream, Records: found, OK: !s.away})
	})
}

// answer passes a result to a node that still runs, after the way back.
func (s *worldStore) answer(n *worldNode, life int, ev pinning.Event) {
	s.w.after(storeDelay, func() {
		if n.up && n.lives == life {
			n.handle(ev)
		}
	})
}
