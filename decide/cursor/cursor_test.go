package cursor_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
)

func sampleCursor() cursor.Cursor {
	return cursor.Cursor{
		Workspace: "weavers", Request: "r-1", Owner: "vm-1", Backup: "vm-2", Offset: 70, Digest: 1 << 63,
		TailFrom: 9, TailIDs: []vaneyoke.TokenID{1, 1 << 30}, TailTextFrom: 60, TailText: []byte("é tail"), Stream: 5,
	}
}

func TestRoundTripAndKeyRotation(t *testing.T) {
	old, rotating, rotated := cursor.NewKeyring("old"), cursor.NewKeyring("new", "old"), cursor.NewKeyring("new")
	for _, ring := range []*cursor.Keyring{old, rotating} {
		got, err := ring.Decode(old.Encode(sampleCursor()))
		must.NoError(t, err)
		must.Eq(t, sampleCursor(), got)
	}
	_, err := rotated.Decode(old.Encode(sampleCursor()))
	must.EqOp(t, vaneyoke.CodeBadRequest, vaneyoke.CodeOf(err))
	_, err = rotated.Decode(rotating.Encode(sampleCursor()))
	must.NoError(t, err)
}

// FuzzDecode looks for panics and for cursors that are accepted although no node wrote them.
func FuzzDecode(f *testing.F) {
	ring := cursor.NewKeyring("key")
	good := ring.Encode(sampleCursor())
	f.Add(good)
	f.Add("")
	f.Add(good[:len(good)-1])
	f.Add(cursor.NewKeyring("other").Encode(sampleCursor()))
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ring.Decode(text)
		if err == nil {
			must.EqOp(t, text, ring.Encode(c))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	ring := cursor.NewKeyring("key")
	b.ReportAllocs()
	for b.Loop() {
		ring.Encode(sampleCursor())
	}
}
