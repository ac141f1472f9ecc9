package pinning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

const lookedUp = pinning.StreamID("a-stream")

// newArchivingState returns the state of the only node of a fleet, which keeps records in the store.
func newArchivingState(l listing, mixed ...vaneyoke.ServiceID) *pinning.State {
	s := newState(1, l)
	s.EnableArchive()
	s.Handle(epoch, pinning.VersionsMixed{Services: mixed})
	return s
}

// readsOf returns the reads of the store among effects.
func readsOf(effects []pinning.Effect) (reads []pinning.ReadRecords) {
	for _, e := range effects {
		if read, ok := e.(pinning.ReadRecords); ok {
			reads = append(reads, read)
		}
	}
	return reads
}

// Guards against a stream that goes on by a guess although the store has its record, by none, or by one that leaves its version open.
func TestOriginAsTheStoreKnowsIt(t *testing.T) {
	record := func(software pinning.Software, revision int) pinning.Record {
		return pinning.Record{Stream: lookedUp, Software: software, Revision: revision, TTL: time.Minute}
	}
	one, both := listing{[]vaneyoke.SoftwareVersion{"v1"}, longWatch}, listing{[]vaneyoke.SoftwareVersion{"v1", "v2"}, longWatch}
	lm := []vaneyoke.ServiceID{"lm"}
	cases := map[string]struct {
		listing  listing
		mixed    []vaneyoke.ServiceID
		read     *pinning.RecordsRead // nil if the store is not to be read
		basis    pinning.Basis
		software pinning.Software
		unread   bool
	}{
		"one version":                             {one, nil, nil, pinning.BasisOnlyVersion, v1, false},
		"one version for a while":                 {listing{one.versions, time.Second}, nil, &pinning.RecordsRead{OK: true}, pinning.BasisNone, pinning.Software{}, false},
		"another version is about to begin some":  {one, lm, &pinning.RecordsRead{OK: true}, pinning.BasisOnlyVersion, v1, false},
		"another version began this one, unasked": {one, lm, &pinning.RecordsRead{OK: true, Records: []pinning.Record{record(v2, 0)}}, pinning.BasisStore, v2, false},
		"another version may, the store is away":  {one, lm, &pinning.RecordsRead{}, pinning.BasisNone, pinning.Software{}, true},
		"two versions, a record":                  {both, lm, &pinning.RecordsRead{OK: true, Records: []pinning.Record{record(v1, 0)}}, pinning.BasisStore, v1, false},
		"two versions, records of two nodes":      {both, lm, &pinning.RecordsRead{OK: true, Records: []pinning.Record{record(v1, 0), record(v1, 0)}}, pinning.BasisStore, v1, false},
		"two versions, none":                      {both, lm, &pinning.RecordsRead{OK: true}, pinning.BasisNone, pinning.Software{}, false},
		"two versions, the store is away":         {both, lm, &pinning.RecordsRead{}, pinning.BasisNone, pinning.Software{}, true},
		"two streams with one id":                 {both, lm, &pinning.RecordsRead{OK: true, Records: []pinning.Record{record(v1, 0), record(v2, 0)}}, pinning.BasisAmbiguous, v1, false},
		"a corrected record":                      {both, lm, &pinning.RecordsRead{OK: true, Records: []pinning.Record{record(v2, 1), record(v1, 0)}}, pinning.BasisStore, v2, false},
		"a row that cannot be read":               {both, lm, &pinning.RecordsRead{OK: true, Records: []pinning.Record{{Stream: lookedUp, Ambiguous: true}, record(v1, 0)}}, pinning.BasisAmbiguous, pinning.Software{}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newArchivingState(tc.listing, tc.mixed...)
			effects := s.Handle(epoch, lookup(lookedUp))
			if tc.read != nil {
				must.Eq(t, []pinning.ReadRecords{{Stream: lookedUp}}, readsOf(effects))
				tc.read.Stream = lookedUp
				effects = s.Handle(epoch.Add(5*time.Millisecond), *tc.read)
			}
			got := decision(effects)
			must.NotNil(t, got)
			must.EqOp(t, tc.basis, got.Basis)
			must.EqOp(t, tc.software, got.Software)
			must.EqOp(t, tc.unread, got.StoreUnread)
		})
	}
}

// Guards against a read of the store for each of many callers of one stream, and against callers who are left without an answer.
func TestLookupsOfAStreamShareARead(t *testing.T) {
	s := newArchivingState(listing{[]vaneyoke.SoftwareVersion{"v1", "v2"}, longWatch}, "lm")
	reads, decided := 0, 0
	for id := range pinning.LookupID(5) {
		reads += len(readsOf(s.Handle(epoch, pinning.Lookup{ID: id + 1, Stream: lookedUp, Services: []vaneyoke.ServiceID{"lm"}, MaxAge: time.Minute})))
	}
	must.EqOp(t, 1, reads)
	s.Handle(epoch, pinning.LookupCancelled{ID: 1})
	for _, e := range s.Handle(epoch, pinning.RecordsRead{Stream: lookedUp, OK: true}) {
		if _, ok := e.(pinning.LookupDecided); ok {
			decided++
		}
	}
	must.EqOp(t, 4, decided)
}

// writesOf returns the transactions among effects.
func writesOf(effects []pinning.Effect) (writes []pinning.WriteRecords) {
	for _, e := range effects {
		if write, ok := e.(pinning.WriteRecords); ok {
			writes = append(writes, write)
		}
	}
	return writes
}

// Guards against a corrected record whose earlier row stays, and against one that is lost because a transaction failed or was under way.
func TestRowsFollowTheirRecords(t *testing.T) {
	s := newArchivingState(listing{}, "lm")
	at := epoch
	step := func(ev pinning.Event) []pinning.WriteRecords { return writesOf(s.Handle(at, ev)) }
	next := func() []pinning.WriteRecords {
		for range 3000 {
			at = at.Add(10 * time.Millisecond)
			if writes := step(pinning.Tick{}); len(writes) > 0 {
				return writes
			}
		}
		return nil
	}
	step(pinning.StreamBegun{Stream: lookedUp, Software: v1, Deadline: at.Add(20 * time.Second)})
	first := next()
	must.Len(t, 1, first)
	must.EqOp(t, v1, first[0].Put[0].Software)
	step(pinning.StreamBegun{Stream: lookedUp, Software: v2, Revision: 1, Deadline: at.Add(20 * time.Second)}) // while the transaction is under way
	step(pinning.RecordsWritten{OK: false})
	failedAt := at
	again := next()
	must.GreaterEq(t, 250*time.Millisecond, at.Sub(failedAt))
	must.Len(t, 1, again)
	must.Eq(t, pinning.Record{Stream: lookedUp, Software: v2, Revision: 1, TTL: again[0].Put[0].TTL}, again[0].Put[0])
	step(pinning.RecordsWritten{OK: true})
	step(pinning.StreamBegun{Stream: lookedUp, Software: v1, Revision: 2, Deadline: at.Add(20 * time.Second)})
	corrected := next()
	must.Eq(t, []pinning.RowKey{{Stream: lookedUp, Revision: 1}}, corrected[0].Drop)
	step(pinning.RecordsWritten{OK: true})
	at = at.Add(time.Minute)
	dropped := next()
	must.SliceEmpty(t, dropped[0].Put)
	must.Eq(t, []pinning.RowKey{{Stream: lookedUp, Revision: 2}}, dropped[0].Drop)
	step(pinning.RecordsWritten{OK: true})
	must.EqOp(t, 0, s.Stats().Archived)
	must.SliceEmpty(t, next())
}

// Guards against a row with a time that is not past yet, which would keep a version from beginning streams, or a record from being complete, for good.
func TestStagesWithImpossibleTimes(t *testing.T) {
	for name, since := range map[string]vaneyoke.StoreTime{"of the future": hour * 1000, "at the end of time": vaneyoke.StoreTimeFromMs(1 << 62), "before the start": vaneyoke.StoreTimeFromMs(-1 << 62)} {
		t.Run(name, func(t *testing.T) {
			row := pinning.ServiceVersions{Service: "lm", Since: since, Revision: 1, Versions: []pinning.ServiceVersion{
				{Version: "v1", Stage: pinning.StageAdmitted, Since: since}, {Version: "v2", Stage: pinning.StageAnnounced, Since: since}, {Version: "v3", Stage: pinning.StageRetired, Since: since},
			}}
			s, stages := stagesAfter(row, recordConfig, listedFor{versionList{"v1", "v2"}, 52 * time.Second})
			must.Eq(t, []string{"v1:admitted", "v2:admitted"}, stages)
			must.True(t, s.Complete)
		})
	}
}
