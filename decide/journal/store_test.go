package journal_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/journal"
)

var (
	now   = time.Unix(1000, 0)
	key   = journal.Key{Workspace: "w", Key: "k"}
	nodeA = vaneyoke.NodeID{VM: "a", Incarnation: 1}
	nodeB = vaneyoke.NodeID{VM: "b", Incarnation: 1}
)

func entry(owner vaneyoke.NodeID, epoch journal.Epoch) journal.Entry {
	return journal.Entry{Request: "r", Owner: owner, Epoch: epoch}
}

// fullDelta identifies its session by the key, partialDelta by the handle.
func fullDelta(owner vaneyoke.NodeID, epoch journal.Epoch, text string) journal.Delta {
	d := partialDelta(owner, 0, text)
	d.Key, d.Entry = key, entry(owner, epoch)
	d.Stream = &journal.Stream{Name: "s1"}
	return d
}

func partialDelta(owner vaneyoke.NodeID, from int, text string) journal.Delta {
	d := journal.Delta{Handle: journal.Handle{Owner: owner, Number: 7}, From: vaneyoke.Tokens(from), TextFrom: from, Text: []byte(text)}
	for _, b := range []byte(text) {
		d.IDs = append(d.IDs, vaneyoke.TokenID(b))
	}
	return d
}

func takeOver(owner vaneyoke.NodeID) func(*journal.Store) journal.PushOutcome {
	return func(s *journal.Store) journal.PushOutcome {
		s.TakeOver(now, key, owner)
		return journal.PushAccepted
	}
}

func push(d journal.Delta) func(*journal.Store) journal.PushOutcome {
	return func(s *journal.Store) journal.PushOutcome { return s.Push(now, d) }
}

func TestPush(t *testing.T) {
	done := partialDelta(nodeA, 2, "c")
	done.Result = &journal.Result{}
	moved := partialDelta(nodeA, 2, "c")
	moved.Stream = &journal.Stream{Name: "s2"}
	cases := map[string]struct {
		steps  []func(*journal.Store) journal.PushOutcome
		last   journal.PushOutcome
		text   string
		stream string
		owner  vaneyoke.NodeID
	}{
		"parts":                {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(partialDelta(nodeA, 2, "c"))}, journal.PushAccepted, "abc", "s1", nodeA},
		"part comes twice":     {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(partialDelta(nodeA, 2, "c")), push(partialDelta(nodeA, 2, "c"))}, journal.PushAccepted, "abc", "s1", nodeA},
		"parts overlap":        {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(partialDelta(nodeA, 1, "bcd"))}, journal.PushAccepted, "abcd", "s1", nodeA},
		"part is missing":      {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(partialDelta(nodeA, 3, "d"))}, journal.PushGap, "ab", "s1", nodeA},
		"handle is unknown":    {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(partialDelta(nodeB, 2, "c"))}, journal.PushGap, "ab", "s1", nodeA},
		"stream changes":       {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(moved)}, journal.PushAccepted, "abc", "s2", nodeA},
		"owner was superseded": {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), takeOver(nodeB), push(partialDelta(nodeA, 2, "c"))}, journal.PushSuperseded, "ab", "s1", nodeB},
		"old owner sends all":  {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), takeOver(nodeB), push(fullDelta(nodeA, 1, "abc"))}, journal.PushSuperseded, "ab", "s1", nodeB},
		"new owner continues":  {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), takeOver(nodeB), push(fullDelta(nodeB, 2, "abx"))}, journal.PushAccepted, "abx", "s1", nodeB},
		"later epoch replaces": {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "abc")), push(fullDelta(nodeB, 3, "ay"))}, journal.PushAccepted, "ay", "s1", nodeB},
		"owner retracts ids":   {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "abc")), push(fullDelta(nodeA, 1, "ab")), push(partialDelta(nodeA, 2, "x"))}, journal.PushAccepted, "abx", "s1", nodeA},
		"finished stays owned": {[]func(*journal.Store) journal.PushOutcome{push(fullDelta(nodeA, 1, "ab")), push(done), takeOver(nodeB)}, journal.PushAccepted, "abc", "s1", nodeA},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := journal.New(journal.Config{MaxBytes: 1 << 20, Retention: time.Hour})
			var last journal.PushOutcome
			for _, step := range tc.steps {
				last = step(s)
			}
			must.EqOp(t, tc.last, last)
			d, ok := s.Get(now, key)
			must.True(t, ok)
			must.EqOp(t, tc.text, string(d.Text))
			must.SliceLen(t, len(tc.text), d.IDs)
			must.EqOp(t, tc.stream, d.Stream.Name)
			must.EqOp(t, tc.owner, d.Entry.Owner)
		})
	}
}

func TestOpenReturnsExistingOwner(t *testing.T) {
	s := journal.New(journal.Config{MaxBytes: 1 << 20, Retention: time.Minute})
	_, found := s.Open(now, key, entry(nodeA, 1))
	must.False(t, found)
	_, held := s.Get(now, key)
	must.False(t, held)
	other := journal.Entry{Request: "other", Owner: nodeB, Epoch: 1}
	existing, found := s.Open(now, key, other)
	must.True(t, found)
	must.EqOp(t, nodeA, existing.Owner)
	_, found = s.Open(now.Add(time.Minute), key, other)
	must.False(t, found)
}

func TestOpenReplacesEntry(t *testing.T) {
	cases := map[string]struct {
		first, next journal.Entry
		found       bool
	}{
		"the same owner's next request": {journal.Entry{Request: "x", Owner: nodeB, Epoch: 1}, entry(nodeB, 2), false},
		"a query, then the owner":       {journal.Entry{Request: "r", Owner: nodeB, Epoch: 0}, entry(nodeA, 1), false},
		"a query for a known request":   {entry(nodeA, 1), journal.Entry{Request: "r", Owner: nodeB, Epoch: 0}, true},
		"a later owner":                 {entry(nodeA, 1), entry(nodeB, 2), false},
		"an older owner":                {entry(nodeB, 2), entry(nodeA, 1), true},
		"another owner's request":       {journal.Entry{Request: "x", Owner: nodeA, Epoch: 1}, entry(nodeB, 2), true},
		"the owner moves its journal":   {entry(nodeA, 1), journal.Entry{Request: "r", Owner: nodeA, Epoch: 1, Backup: "c"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := journal.New(journal.Config{MaxBytes: 1 << 20, Retention: time.Minute})
			s.Open(now, key, tc.first)
			_, found := s.Open(now, key, tc.next)
			must.EqOp(t, tc.found, found)
			kept, _ := s.Entry(now, key)
			must.EqOp(t, !found, kept == tc.next)
		})
	}
	t.Run("a push of the owner's next request replaces the entry", func(t *testing.T) {
		s := journal.New(journal.Config{MaxBytes: 1 << 20, Retention: time.Minute})
		s.Open(now, key, journal.Entry{Request: "x", Owner: nodeB, Epoch: 1})
		must.EqOp(t, journal.PushAccepted, s.Push(now, fullDelta(nodeB, 2, "ab")))
		d, _ := s.Get(now, key)
		must.EqOp(t, "r", string(d.Entry.Request))
	})
}

func TestMemoryIsBounded(t *testing.T) {
	const bytes = 100_000
	s := journal.New(journal.Config{MaxBytes: bytes, Retention: time.Hour})
	for i := range 400 {
		d := fullDelta(nodeA, 1, string(make([]byte, 500)))
		d.Key.Key = time.Duration(i).String()
		d.Handle.Number = uint64(i)
		if i%2 == 0 {
			d.Result = &journal.Result{}
		}
		s.Push(now, d)
		must.LessEq(t, bytes, s.Bytes())
	}
	must.Greater(t, 0, s.Evicted())
	_, ok := s.Get(now, journal.Key{Workspace: "w", Key: time.Duration(399).String()})
	must.True(t, ok)
}
