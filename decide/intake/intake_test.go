package intake_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke/decide/intake"
)

const (
	connBytes = 100
	patience  = time.Second
)

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// event happens to the connection of a letter, at a time in milliseconds.
type event struct {
	ms   int
	kind string // open, grow, close, or the phase that it enters: begin, rest, receive, answer or handle
	key  string
	n    intake.Bytes // of grow

	evicted []string
	refused bool
}

// entered is the phase of each event by which a connection enters one.
var entered = map[string]intake.Phase{"begin": intake.Unfinished, "rest": intake.Idle, "receive": intake.Receiving, "answer": intake.Answered, "handle": intake.Handling}

// apply hands an event to a ledger.
func apply(l *intake.Ledger[string], e event) (evicted []string, ok bool) {
	now := at(e.ms)
	switch e.kind {
	case "open":
		return l.Open(now, e.key)
	case "grow":
		return l.Grow(now, e.key, e.n)
	case "close":
		l.Close(e.key)
	default:
		l.Enter(now, e.key, entered[e.kind])
	}
	return nil, true
}

// TestEviction: connections that wait with nothing, or with half a header, kept others out.
func TestEviction(t *testing.T) {
	two := intake.Limits{Conns: 2, ConnBytes: connBytes, Patience: patience}
	three := intake.Limits{Bytes: 3 * connBytes, ConnBytes: connBytes, Patience: patience}
	cases := map[string]struct {
		limits intake.Limits
		events []event
	}{
		"there is room": {two, []event{{kind: "open", key: "a"}, {kind: "open", key: "b"}}},
		"no bound":      {intake.Limits{ConnBytes: connBytes}, []event{{kind: "open", key: "a"}, {kind: "grow", key: "a", n: 1 << 40}, {kind: "open", key: "b"}}},
		"the oldest that has sent nothing goes": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "open", key: "c", evicted: []string{"a"}}, {ms: 3, kind: "open", key: "d", evicted: []string{"b"}},
		}},
		"a request that is handled never goes": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "handle", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "open", key: "c", evicted: []string{"b"}},
			{ms: 4, kind: "handle", key: "c"}, {ms: 5, kind: "open", key: "d", refused: true}, {ms: 6, kind: "rest", key: "a"}, {ms: 7, kind: "open", key: "d", evicted: []string{"a"}},
		}},
		"an idle one goes before a fresh one": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "rest", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "open", key: "c", evicted: []string{"a"}},
		}},
		"one that has waited for long goes before an idle one": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "rest", key: "b"}, {ms: 1000, kind: "open", key: "c", evicted: []string{"a"}},
		}},
		"the one that was idle for longest goes": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "rest", key: "b"}, {ms: 3, kind: "rest", key: "a"}, {ms: 4, kind: "open", key: "c", evicted: []string{"b"}},
		}},
		"a header that grows displaces older ones": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "grow", key: "b", n: 101, evicted: []string{"a"}},
		}},
		"the oldest does not displace younger ones": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "grow", key: "a", n: 101, refused: true}, {ms: 3, kind: "open", key: "c"}, {ms: 4, kind: "open", key: "d"},
		}},
		"a header is larger than all room": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "grow", key: "b", n: 201, refused: true}, {ms: 3, kind: "grow", key: "a", n: 200},
		}},
		"a header counts while its request is handled, and no longer": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "grow", key: "a", n: 101}, {ms: 2, kind: "handle", key: "a"}, {ms: 3, kind: "open", key: "b", refused: true},
			{ms: 4, kind: "rest", key: "a"}, {ms: 5, kind: "open", key: "b"}, {ms: 6, kind: "open", key: "c"},
		}},
		"one whose body does not come goes after the idle": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "receive", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "handle", key: "b"}, {ms: 4, kind: "open", key: "c"},
			{ms: 5, kind: "rest", key: "c"}, {ms: 2000, kind: "open", key: "d", evicted: []string{"c"}}, {ms: 2001, kind: "open", key: "e", evicted: []string{"a"}},
		}},
		"one that was answered goes before the idle once it has waited": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "answer", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "rest", key: "b"}, {ms: 4, kind: "open", key: "c"},
			{ms: 5, kind: "rest", key: "c"}, {ms: 6, kind: "open", key: "d", evicted: []string{"b"}}, {ms: 7, kind: "handle", key: "d"}, {ms: 1001, kind: "open", key: "e", evicted: []string{"a"}},
		}},
		"bodies that have just begun go when nothing else is left": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "receive", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "receive", key: "b"}, {ms: 4, kind: "open", key: "c", evicted: []string{"a"}},
			{ms: 5, kind: "handle", key: "c"}, {ms: 6, kind: "handle", key: "b"}, {ms: 7, kind: "open", key: "d", refused: true},
		}},
		"a header that grows goes before an older connection without one": {three, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "grow", key: "b", n: 50}, {ms: 3, kind: "open", key: "c", evicted: []string{"b"}},
		}},
		"an idle one that goes on is fresh again": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "rest", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "begin", key: "a"}, {ms: 4, kind: "open", key: "c", evicted: []string{"b"}},
		}},
		"an evicted one that had a request is counted again": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "rest", key: "a"}, {ms: 2, kind: "open", key: "b"}, {ms: 3, kind: "open", key: "c", evicted: []string{"a"}}, {ms: 4, kind: "begin", key: "a"},
			{ms: 5, kind: "handle", key: "a"}, {ms: 6, kind: "handle", key: "b"}, {ms: 7, kind: "handle", key: "c"}, {ms: 8, kind: "close", key: "a"}, {ms: 9, kind: "open", key: "d", refused: true},
		}},
		"a header of one that was evicted": {two, []event{
			{ms: 0, kind: "open", key: "a"}, {ms: 1, kind: "open", key: "b"}, {ms: 2, kind: "open", key: "c", evicted: []string{"a"}}, {ms: 3, kind: "grow", key: "a", n: 1, refused: true},
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := intake.New[string](tc.limits)
			for _, e := range tc.events {
				evicted, ok := apply(l, e)
				must.Eq(t, e.evicted, evicted, must.Sprintf("%+v", e))
				must.EqOp(t, !e.refused, ok, must.Sprintf("%+v", e))
			}
		})
	}
}

// model is what a ledger should hold, kept in the simplest way.
type model struct {
	phases map[int]intake.Phase
	open   map[int]intake.Bytes // memory of headers
}

func (m *model) remove(key int) {
	delete(m.open, key)
	delete(m.phases, key)
}

func (m *model) count(p intake.Phase) (n int) {
	for _, other := range m.phases {
		if other == p {
			n++
		}
	}
	return n
}

func (m *model) total() (sum intake.Bytes) {
	for _, header := range m.open {
		sum += connBytes + header
	}
	return sum
}

// TestLedgerKeepsItsBounds: in any order of events, what is open keeps to the bounds, unless an evicted connection had a request; no connection whose request
// is handled is evicted; and none is refused while another could go.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := intake.Limits{Conns: rapid.IntRange(1, 6).Draw(t, "conns"), Bytes: intake.Bytes(rapid.IntRange(1, 8).Draw(t, "bytes") * connBytes), ConnBytes: connBytes, Patience: patience}
		l := intake.New[int](limits)
		m := model{map[int]intake.Phase{}, map[int]intake.Bytes{}}
		ms := 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			ms += rapid.IntRange(0, 700).Draw(t, "ms")
			key := rapid.IntRange(0, 8).Draw(t, "key")
			_, isOpen := m.open[key]
			var evicted []int
			ok, opens, grows := true, false, false
			switch kind := rapid.SampledFrom([]string{"open", "grow", "close", "begin", "rest", "receive", "answer", "handle"}).Draw(t, "kind"); {
			case kind == "open" && isOpen, kind == "grow" && (!isOpen || (m.phases[key] != intake.Unfinished && m.phases[key] != intake.Growing)):
			case kind == "open":
				evicted, ok = l.Open(at(ms), key)
				if ok {
					m.open[key], m.phases[key] = 0, intake.Unfinished
				}
				opens, grows = true, true
			case kind == "grow":
				n := intake.Bytes(rapid.IntRange(0, 300).Draw(t, "n"))
				evicted, ok = l.Grow(at(ms), key, n)
				if ok {
					m.open[key] += n
					m.phases[key] = intake.Growing
				} else {
					m.remove(key)
				}
				grows = true
			case kind == "close":
				l.Close(key)
				m.remove(key)
			default:
				l.Enter(at(ms), key, entered[kind])
				m.open[key] += 0
				if kind != "begin" || m.phases[key] != intake.Growing {
					m.phases[key] = entered[kind]
				}
				if kind == "rest" {
					m.open[key] = 0
				}
			}
			for _, other := range evicted {
				must.NotEqOp(t, intake.Handling, m.phases[other], must.Sprint("a request that is handled was evicted"))
				m.remove(other)
			}
			must.False(t, slices.Contains(evicted, key))
			must.EqOp(t, m.total(), l.Total())
			for _, p := range []intake.Phase{intake.Unfinished, intake.Growing, intake.Idle, intake.Receiving, intake.Answered, intake.Handling} {
				must.EqOp(t, m.count(p), l.Count(p))
			}
			if grows && ok {
				must.LessEq(t, limits.Conns, len(m.open))
				must.LessEq(t, limits.Bytes, l.Total())
			}
			if !ok && !grows {
				t.Fatal("only what needs room is refused")
			}
			if !ok && opens {
				must.EqOp(t, m.count(intake.Handling), len(m.open), must.Sprint("refused while another could go"))
			}
		}
	})
}
