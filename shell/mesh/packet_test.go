package mesh

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// largeRow returns a row like the configuration of many routes.
func largeRow() watch.Row {
	type entry struct{ Host, Prefix, Service string }
	var entries []entry
	for n := range 1000 {
		entries = append(entries, entry{Host: fmt.Sprintf("host%d.example", n%7), Prefix: fmt.Sprintf("/p%d/", n), Service: "engines"})
	}
	data, err := json.Marshal(entries)
	if err != nil {
		panic(err)
	}
	return watch.Row{Data: data, Version: 3}
}

// TestEqualFollowersShareOnePacket checks that followers with the same versions share one encoded packet, and that a large row is compressed.
func TestEqualFollowersShareOnePacket(t *testing.T) {
	now := time.Unix(1000, 0)
	large := largeRow()
	hub, _ := newRecordingHub()
	setConfirmed(hub, now, "t", watch.Rows{"a": row("1", 1)}, 2, now)
	setConfirmed(hub, now, "t", watch.Rows{"a": row("1", 1), "big": large}, 3, now)
	first, _, _, err := hub.nextUpdate(now, heldVersions{"t": {version: 2}})
	must.NoError(t, err)
	second, _, _, err := hub.nextUpdate(now, heldVersions{"t": {version: 2}})
	must.NoError(t, err)
	must.True(t, &first[0] == &second[0])
	must.Less(t, len(large.Data)/5, len(first))
	whole, _, _, err := hub.nextUpdate(now, heldVersions{})
	must.NoError(t, err)
	f, err := whole.unpack()
	must.NoError(t, err)
	must.Len(t, 2, f.Tables[0].Rows)
	setConfirmed(hub, now, "t", watch.Rows{"a": row("1", 1)}, 4, now)
	third, _, _, err := hub.nextUpdate(now, heldVersions{"t": {version: 2}})
	must.NoError(t, err)
	must.False(t, bytes.Equal(first, third))
}

func TestPackets(t *testing.T) {
	small, err := pack(frame{Status: &tableStatus{AgeMs: 7, Complete: true}})
	must.NoError(t, err)
	large, err := pack(frame{Tables: []tableUpdate{{Name: "t", Version: 3, Rows: []rowUpdate{{Key: "k", Data: largeRow().Data}}}}})
	must.NoError(t, err)
	var wire bytes.Buffer
	must.NoError(t, small.writeTo(&wire))
	must.NoError(t, large.writeTo(&wire))
	sent := wire.Bytes()
	for _, want := range []packet{small, large} {
		got, err := readPacket(&wire)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	_, err = readPacket(&wire)
	must.ErrorIs(t, err, io.EOF)
	for cut := 1; cut < len(small)+lengthBytes; cut++ {
		_, err = readPacket(bytes.NewReader(sent[:cut]))
		must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint(cut))
	}
	_, err = readPacket(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	must.ErrorContains(t, err, "larger than")
	_, err = large[:len(large)/2].unpack()
	must.Error(t, err)
	_, err = packet("no JSON").unpack()
	must.Error(t, err)
}

// FuzzUnpack decodes arbitrary packets: it must not panic, and a decoded frame must survive encoding.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(`{"beat":{"age_ms":3,"known":true}}`))
	if p, err := pack(frame{Tables: []tableUpdate{{Name: "t", Rows: []rowUpdate{{Key: "k", Data: largeRow().Data}}}}}); err == nil {
		f.Add([]byte(p))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := packet(data).unpack()
		if err != nil {
			return
		}
		p, err := pack(decoded)
		must.NoError(t, err)
		again, err := p.unpack()
		must.NoError(t, err)
		must.Eq(t, len(decoded.Tables), len(again.Tables))
	})
}
