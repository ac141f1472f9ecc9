package mesh

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	compressMinBytes = 2 << 10  // frames of at least this size are compressed
	maxPacketBytes   = 64 << 20 // largest packet accepted, and largest size of its decompressed JSON
	lengthBytes      = 4
)

// gzipMagic is the prefix of a compressed packet; an uncompressed one starts with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// packet is an encoded frame: JSON, compressed if it is large.
type packet []byte

// pack encodes a frame.
func pack(f frame) (packet, error) {
	text, err := json.Marshal(f)
	if err != nil || len(text) < compressMinBytes {
		return text, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// unpack decodes a packet.
func (p packet) unpack() (f frame, err error) {
	if !bytes.HasPrefix(p, gzipMagic) {
		return f, json.Unmarshal(p, &f)
	}
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return f, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxPacketBytes))
	if err != nil {
		return f, err
	}
	return f, json.Unmarshal(text, &f)
}

// writeTo writes a packet with its length as a prefix.
func (p packet) writeTo(w io.Writer) error {
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(p)), uint32(len(p))) //nolint:gosec // bounded by memory
	_, err := w.Write(append(framed, p...))
	return err
}

// readPacket reads the next packet.
func readPacket(r io.Reader) (packet, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxPacketBytes {
		return nil, fmt.Errorf("a packet of %d bytes is larger than %d", n, maxPacketBytes)
	}
	var p bytes.Buffer // grows with the data that arrives, so a false length allocates nothing
	if _, err := io.CopyN(&p, r, int64(n)); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	return p.Bytes(), nil
}
