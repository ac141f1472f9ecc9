package peer_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/wire/peer"
	"github.com/vaneyoke/vaneyoke/wire/peer/peerpb"
)

// FuzzDeltas pushes a delta decoded from arbitrary bytes to a journal store twice.
func FuzzDeltas(f *testing.F) {
	key := &peerpb.Key{Workspace: "w", Key: "k"}
	for _, d := range []*peerpb.Delta{
		{Key: key, Entry: &peerpb.Entry{Request: "r", Owner: &peerpb.Node{Vm: "vm-0", Incarnation: 1}, Epoch: 1}, From: -5, TextFrom: -1, Ids: []int32{-1, 7}},
		{Handle: 7, From: 1 << 60, TextFrom: 1 << 60, Text: []byte("x")}, {Result: &peerpb.Result{Code: -1, Status: -7}}, {Stream: &peerpb.Stream{Base: -9}}, {},
	} {
		raw, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		store := journal.New(journal.Config{MaxBytes: 1 << 20, Retention: 1 << 40})
		for range 2 {
			store.Push(time.Unix(1000, 0), peer.ParseDelta(raw))
		}
	})
}
