package pinning_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
)

// listing is a fixed list of versions.
type listing struct {
	versions []vaneyoke.SoftwareVersion
	watched  time.Duration
}

func (l listing) Software(services []vaneyoke.ServiceID) (all []pinning.Software, watched time.Duration) {
	for _, service := range services {
		for _, v := range l.versions {
			all = append(all, pinning.Software{Service: service, Version: v})
		}
	}
	return all, l.watched
}

var (
	epoch = time.Unix(1000, 0)
	v1    = pinning.Software{Service: "lm", Version: "v1"}
	v2    = pinning.Software{Service: "lm", Version: "v2"}
)

const longWatch = time.Hour

func member(n int) pinning.Member {
	return pinning.Member{VM: vaneyoke.VMID(fmt.Sprint("vm-", n)), DataCentre: vaneyoke.DataCentreID(fmt.Sprint("dc-", n%3)), Address: fmt.Sprint("address-", n), Incarnation: 1}
}

// newState returns the state of member 0 of a fleet.
func newState(fleet int, l listing) *pinning.State {
	s := pinning.New(member(0), l)
	var all []pinning.Member
	for i := range fleet {
		all = append(all, member(i))
	}
	s.Handle(epoch, pinning.MembersUpdated{All: all})
	return s
}

func lookup(stream pinning.StreamID) pinning.Lookup {
	return pinning.Lookup{ID: 1, Stream: stream, Services: []vaneyoke.ServiceID{"lm"}, MaxAge: time.Minute}
}

// decision returns the result of a lookup among effects; nil if there is none.
func decision(effects []pinning.Effect) *pinning.Origin {
	for _, e := range effects {
		if decided, ok := e.(pinning.LookupDecided); ok {
			return &decided.Origin
		}
	}
	return nil
}

func sends(effects []pinning.Effect) (all []pinning.Send) {
	for _, e := range effects {
		if send, ok := e.(pinning.Send); ok {
			all = append(all, send)
		}
	}
	return all
}

func from(n int, m pinning.Message) pinning.MessageReceived {
	m.From, m.Address, m.Incarnation = member(n).VM, member(n).Address, 1
	return pinning.MessageReceived{Message: m}
}

// Guards against a stream that goes on by a record that is another's, or by none although several versions may have begun it.
func TestOriginOfAStream(t *testing.T) {
	const id = pinning.StreamID("a-stream")
	record := pinning.Record{Stream: id, Software: v1, TTL: time.Minute}
	cases := map[string]struct {
		listing listing
		events  []pinning.Event // before the lookup
		stream  pinning.StreamID
		want    pinning.Origin
	}{
		"own record":                 {listing{nil, 0}, []pinning.Event{pinning.StreamBegun{Stream: id, Software: v2, Deadline: epoch.Add(time.Minute)}}, id, pinning.Origin{Basis: pinning.BasisOwn, Software: v2}},
		"own record of an ended one": {listing{nil, 0}, []pinning.Event{pinning.StreamBegun{Stream: id, Software: v2, Deadline: epoch.Add(time.Minute)}, pinning.StreamEnded{Stream: id}}, id, pinning.Origin{Basis: pinning.BasisOwn, Software: v2}},
		"record of another node":     {listing{nil, 0}, []pinning.Event{from(1, pinning.Message{Records: []pinning.Record{record}})}, id, pinning.Origin{Basis: pinning.BasisOwn, Software: v1}},
		"two streams with one id": {listing{nil, 0}, []pinning.Event{
			from(1, pinning.Message{Records: []pinning.Record{record}}), pinning.StreamBegun{Stream: id, Software: v2, Deadline: epoch.Add(time.Minute)},
		}, id, pinning.Origin{Basis: pinning.BasisAmbiguous, Software: v1}},
		"corrected record": {listing{nil, 0}, []pinning.Event{
			pinning.StreamBegun{Stream: id, Software: v1, Deadline: epoch.Add(time.Minute)}, pinning.StreamEnded{Stream: id},
			pinning.StreamBegun{Stream: id, Software: v2, Revision: 1, Deadline: epoch.Add(time.Minute)}, from(1, pinning.Message{Records: []pinning.Record{record}}),
		}, id, pinning.Origin{Basis: pinning.BasisOwn, Software: v2}},
		"version that was not known":       {listing{nil, 0}, []pinning.Event{pinning.StreamBegun{Stream: id, Software: v2, VersionUnknown: true, Deadline: epoch.Add(time.Minute)}}, id, pinning.Origin{Basis: pinning.BasisAmbiguous, Software: v2}},
		"unnamed, one version for long":    {listing{[]vaneyoke.SoftwareVersion{"v1"}, longWatch}, nil, "", pinning.Origin{Basis: pinning.BasisOnlyVersion, Software: v1, Coverage: longWatch}},
		"unnamed, one version for a while": {listing{[]vaneyoke.SoftwareVersion{"v1"}, time.Second}, nil, "", pinning.Origin{Candidates: []pinning.Software{v1}, Coverage: time.Second}},
		"unnamed, no stated version":       {listing{[]vaneyoke.SoftwareVersion{""}, longWatch}, nil, "", pinning.Origin{Basis: pinning.BasisOnlyVersion, Software: pinning.Software{Service: "lm"}, Coverage: longWatch}},
		"unnamed, two versions":            {listing{[]vaneyoke.SoftwareVersion{"v1", "v2"}, longWatch}, nil, "", pinning.Origin{Candidates: []pinning.Software{v1, v2}, Coverage: longWatch}},
		"no upstream listed":               {listing{nil, longWatch}, nil, "", pinning.Origin{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(4, tc.listing)
			for _, ev := range tc.events {
				s.Handle(epoch, ev)
			}
			got := decision(s.Handle(epoch, lookup(tc.stream)))
			must.NotNil(t, got)
			must.Eq(t, tc.want, *got)
		})
	}
}

// Guards against answers of other nodes that are passed over, believed though another stream is meant, or waited for too long.
func TestOriginAsOtherNodesKnowIt(t *testing.T) {
	const id = pinning.StreamID("a-stream")
	none := func(watched time.Duration, versions ...pinning.Software) pinning.Reply {
		return pinning.Reply{Stream: id, Candidates: versions, Watched: watched}
	}
	held := pinning.Reply{Stream: id, Record: pinning.Record{Stream: id, Software: v2}}
	one, both := listing{[]vaneyoke.SoftwareVersion{"v1"}, longWatch}, listing{[]vaneyoke.SoftwareVersion{"v1", "v2"}, longWatch}
	cases := map[string]struct {
		listing listing
		replies map[int]pinning.Reply // by the node that answers at once
		decided time.Duration         // after which the lookup is decided
		want    pinning.Basis
	}{
		"one of three has the record":            {both, map[int]pinning.Reply{1: none(longWatch, v1, v2), 2: held, 3: none(longWatch, v1, v2)}, 0, pinning.BasisPeer},
		"the only one that answers has it":       {both, map[int]pinning.Reply{3: held}, 0, pinning.BasisPeer},
		"all have none":                          {both, map[int]pinning.Reply{1: none(longWatch, v1, v2), 2: none(longWatch, v1, v2), 3: none(longWatch, v1, v2)}, 0, pinning.BasisNone},
		"none answers":                           {both, nil, 300 * time.Millisecond, pinning.BasisNone},
		"none answers, one version for long":     {one, nil, 30 * time.Millisecond, pinning.BasisOnlyVersion},
		"none answers, one version for a while":  {listing{one.versions, time.Second}, nil, 300 * time.Millisecond, pinning.BasisNone},
		"one answers, one version for a while":   {listing{one.versions, time.Second}, map[int]pinning.Reply{1: none(time.Second, v1)}, 300 * time.Millisecond, pinning.BasisNone},
		"all answer, one version for a while":    {listing{one.versions, time.Second}, map[int]pinning.Reply{1: none(time.Second, v1), 2: none(time.Second, v1), 3: none(0, v1)}, 0, pinning.BasisNone},
		"none answers, the list may be old":      {listing{one.versions, 0}, nil, 300 * time.Millisecond, pinning.BasisNone},
		"another node knows a second version":    {one, map[int]pinning.Reply{1: none(time.Second, v2), 2: none(longWatch, v1), 3: none(longWatch, v1)}, 0, pinning.BasisNone},
		"all know one version":                   {one, map[int]pinning.Reply{1: none(longWatch, v1), 2: none(longWatch, v1), 3: none(longWatch, v1)}, 0, pinning.BasisOnlyVersion},
		"one that has seen one version for long": {listing{one.versions, 0}, map[int]pinning.Reply{1: none(longWatch, v1)}, 30 * time.Millisecond, pinning.BasisOnlyVersion},
		"two streams with its id":                {both, map[int]pinning.Reply{1: {Stream: id, Record: pinning.Record{Stream: id, Software: v1, Ambiguous: true}}}, 0, pinning.BasisAmbiguous},
		"a reply about another stream":           {both, map[int]pinning.Reply{1: {Stream: "another", Record: pinning.Record{Stream: "another", Software: v1}}}, 300 * time.Millisecond, pinning.BasisNone},
		"a reply with the record of another":     {both, map[int]pinning.Reply{1: {Stream: id, Record: pinning.Record{Stream: "another", Software: v1}}}, 300 * time.Millisecond, pinning.BasisNone},
		"a node that was not asked":              {both, map[int]pinning.Reply{9: held}, 300 * time.Millisecond, pinning.BasisNone},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newState(4, tc.listing)
			must.Len(t, 3, sends(s.Handle(epoch, lookup(id))))
			var got *pinning.Origin
			for n, reply := range tc.replies {
				if decided := decision(s.Handle(epoch, from(n, pinning.Message{Replies: []pinning.Reply{reply}}))); decided != nil {
					got = decided
				}
			}
			at := time.Duration(0)
			for ; got == nil && at < time.Second; at += time.Millisecond {
				got = decision(s.Handle(epoch.Add(at+time.Millisecond), pinning.Tick{}))
			}
			must.NotNil(t, got)
			must.EqOp(t, tc.want, got.Basis)
			must.EqOp(t, tc.decided, at)
			must.SliceEmpty(t, s.Handle(epoch.Add(time.Minute), pinning.LookupCancelled{ID: 1}))
		})
	}
}

// Guards against lookups of a node that has just started and does not know the others yet, which would find no record.
func TestLookupWaitsForMembers(t *testing.T) {
	s := pinning.New(member(0), listing{[]vaneyoke.SoftwareVersion{"v1", "v2"}, 0})
	must.SliceEmpty(t, s.Handle(epoch, lookup("a-stream")))
	asked := sends(s.Handle(epoch.Add(100*time.Millisecond), pinning.MembersUpdated{All: []pinning.Member{member(0), member(1)}}))
	must.Len(t, 1, asked)
	must.Len(t, 1, asked[0].Message.Queries)
	got := decision(s.Handle(epoch.Add(101*time.Millisecond), from(1, pinning.Message{Replies: []pinning.Reply{{Stream: "a-stream", Record: pinning.Record{Stream: "a-stream", Software: v1}}}})))
	must.NotNil(t, got)
	must.EqOp(t, pinning.BasisPeer, got.Basis)

	for _, versions := range [][]vaneyoke.SoftwareVersion{{"v1", "v2"}, {"v1"}} { // the members stay unknown
		unaware := pinning.New(member(0), listing{versions, 0})
		unaware.Handle(epoch, lookup("a-stream"))
		must.EqOp(t, pinning.BasisNone, decision(unaware.Handle(epoch.Add(300*time.Millisecond), pinning.Tick{})).Basis)
	}
}

// Guards against a node with too many lookups under way that decides without asking anybody.
func TestLookupsBeyondTheBoundAreDecidedUnasked(t *testing.T) {
	for watched, basis := range map[time.Duration]pinning.Basis{time.Second: pinning.BasisNone, longWatch: pinning.BasisOnlyVersion} {
		s := newState(4, listing{[]vaneyoke.SoftwareVersion{"v1"}, watched})
		const most = 4096
		for i := range most {
			s.Handle(epoch, pinning.Lookup{ID: pinning.LookupID(i + 2), Stream: pinning.StreamID(fmt.Sprint(i)), Services: []vaneyoke.ServiceID{"lm"}, MaxAge: time.Minute})
		}
		got := decision(s.Handle(epoch, lookup("one more")))
		must.NotNil(t, got)
		must.EqOp(t, basis, got.Basis)
	}
}

// Guards against records that nobody keeps, because a datagram was lost, or the nodes that were to keep it are down or have restarted.
func TestRecordsAreSentAgain(t *testing.T) {
	s := newState(20, listing{})
	told := map[string]int{}
	count := func(effects []pinning.Effect) {
		for _, e := range sends(effects) {
			told[e.To] += len(e.Message.Records)
		}
	}
	count(s.Handle(epoch, pinning.StreamBegun{Stream: "a-stream", Software: v1, Deadline: epoch.Add(time.Minute)}))
	must.MapLen(t, 5, told)
	var acked []string
	for address := range told {
		acked = append(acked, address)
	}
	var n int
	_, _ = fmt.Sscanf(acked[0], "address-%d", &n)
	s.Handle(epoch, from(n, pinning.Message{Acks: []pinning.StreamID{"a-stream", "another"}}))
	must.EqOp(t, 0, s.Stats().Unacked)
	for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
		count(s.Handle(epoch.Add(at), pinning.Tick{}))
	}
	must.EqOp(t, 1, told[acked[0]])
	must.EqOp(t, 4, told[acked[1]])
	must.MapLen(t, 10, told) // the four that do not answer have substitutes, and one of these has, up to the bound
	count(s.Handle(epoch.Add(9*time.Second), pinning.MessageReceived{Message: pinning.Message{From: member(n).VM, Address: "its new address", Incarnation: 2}}))
	must.EqOp(t, 1, told["its new address"]) // it has restarted
	count(s.Handle(epoch.Add(10*time.Second), pinning.Tick{}))
	must.EqOp(t, 2, told[acked[0]]) // holders may have changed
	s.Handle(epoch, pinning.StreamEnded{Stream: "a-stream"})
	must.SliceEmpty(t, sends(s.Handle(epoch.Add(30*time.Second), pinning.Tick{})))
}

// Guards against memory that grows with streams that have ended, or with what other nodes send.
func TestRecordsAreBounded(t *testing.T) {
	s := newState(3, listing{})
	const wanted = 1 << 14
	for i := range wanted + 100 {
		s.Handle(epoch, from(1, pinning.Message{Records: []pinning.Record{{Stream: pinning.StreamID(fmt.Sprint("stream ", i)), Software: v1, TTL: time.Hour}}}))
	}
	must.EqOp(t, wanted, s.Stats().Held)
	must.EqOp(t, 100, s.Stats().Refused)
	must.SliceEmpty(t, sends(s.Handle(epoch, from(1, pinning.Message{Records: []pinning.Record{{Stream: "one more", Software: v1}}}))))
	for at := time.Duration(0); at < 40*time.Minute; at += time.Second {
		s.Handle(epoch.Add(at), pinning.Tick{})
	}
	must.EqOp(t, 0, s.Stats().Held)
	must.True(t, s.NextTick().IsZero())
}

// Guards against messages that exceed a datagram, of which nodes receive only the first 2 KiB.
func TestMessagesFitIntoADatagram(t *testing.T) {
	const longest = 200
	name := func(n int) string { return strings.Repeat("n", longest-8) + fmt.Sprintf("%08d", n) }
	self := pinning.Member{VM: vaneyoke.VMID(name(0)), Address: "255.255.255.255:65535"}
	s := pinning.New(self, listing{[]vaneyoke.SoftwareVersion{vaneyoke.SoftwareVersion(name(1)), vaneyoke.SoftwareVersion(name(2)), vaneyoke.SoftwareVersion(name(3))}, longWatch})
	s.Handle(epoch, pinning.MembersUpdated{All: []pinning.Member{member(1)}})
	fits := func(effects []pinning.Effect) {
		t.Helper()
		must.Positive(t, len(sends(effects)))
		for _, e := range sends(effects) {
			must.Less(t, 2048-1, len(pinning.Encode(e.Message)))
		}
	}
	var services []vaneyoke.ServiceID
	for i := range 9 {
		services = append(services, vaneyoke.ServiceID(name(i)))
		s.Handle(epoch, pinning.StreamBegun{Stream: pinning.StreamID(name(i)), Software: pinning.Software{Service: services[i], Version: vaneyoke.SoftwareVersion(name(i))}, Deadline: epoch.Add(time.Hour)})
	}
	fits(s.Handle(epoch.Add(10*time.Second), pinning.Tick{}))
	fits(s.Handle(epoch, pinning.Lookup{ID: 1, Stream: pinning.StreamID(name(90)), Services: services}))
	var queries []pinning.Query
	for i := range 12 {
		queries = append(queries, pinning.Query{Stream: pinning.StreamID(name(i)), Services: services[:4]})
	}
	fits(s.Handle(epoch, from(1, pinning.Message{Queries: queries})))
}

// Guards against another workspace's attempt of the same id, which must not tell or bind anything.
func TestStreamsOfWorkspacesAreApart(t *testing.T) {
	must.NotEq(t, pinning.NewStreamID("a", "1"), pinning.NewStreamID("b", "1"))
	must.NotEq(t, pinning.NewStreamID("a", "b1"), pinning.NewStreamID("ab", "1"))
	must.EqOp(t, pinning.NewStreamID("a", "1"), pinning.NewStreamID("a", "1"))
}

// FuzzMessages handles arbitrary messages; what is sent in turn must be readable.
func FuzzMessages(f *testing.F) {
	f.Add(pinning.Encode(pinning.Message{From: "vm-1", Address: "address-1", Records: []pinning.Record{{Stream: "a-stream", Software: v1, TTL: time.Hour}}}))
	f.Add(pinning.Encode(pinning.Message{From: "vm-1", Address: "address-1", Queries: []pinning.Query{{Stream: "a-stream", Services: []vaneyoke.ServiceID{"lm", "other"}}}}))
	f.Add(pinning.Encode(pinning.Message{From: "vm-1", Address: "a", Acks: []pinning.StreamID{"mine"}, Replies: []pinning.Reply{{Stream: "wanted", Candidates: []pinning.Software{v1, v2}, Watched: time.Hour}}}))
	f.Add(pinning.Encode(pinning.Message{From: "vm-1", Address: "a", Incarnation: 1 << 63, Replies: []pinning.Reply{{Stream: "wanted", Record: pinning.Record{Stream: "wanted", Software: v1, Ambiguous: true, TTL: time.Hour}}}}))
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := pinning.Decode(data)
		if err != nil {
			return
		}
		s := newState(4, listing{[]vaneyoke.SoftwareVersion{"v1", "v2"}, longWatch})
		s.Handle(epoch, pinning.StreamBegun{Stream: "mine", Software: v1, Deadline: epoch.Add(time.Minute)})
		s.Handle(epoch, lookup("wanted"))
		for _, ev := range []pinning.Event{pinning.MessageReceived{Message: m}, pinning.Tick{}, pinning.StreamEnded{Stream: "mine"}} {
			for _, e := range sends(s.Handle(epoch.Add(time.Second), ev)) {
				sent, err := pinning.Decode(pinning.Encode(e.Message))
				must.NoError(t, err)
				must.EqOp(t, len(e.Message.Records), len(sent.Records))
				must.EqOp(t, len(e.Message.Replies), len(sent.Replies))
			}
		}
	})
}
