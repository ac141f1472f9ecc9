package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/vaneyoke/vaneyoke"
)

const (
	formatVersion = 1
	macBytes      = 16
	maxField      = 4 << 10 // longest name or text within a cursor
)

// Cursor says how much of which answer a caller holds, and what the backup may not hold yet.
type Cursor struct {
	Workspace vaneyoke.WorkspaceID
	Request   vaneyoke.RequestID
	Owner     vaneyoke.VMID // where the answer was read
	Backup    vaneyoke.VMID // where its journal is, "" where there is none
	Offset    int           // bytes of the answer's text that the caller holds
	Digest    uint64        // of those bytes
	TailFrom  vaneyoke.Tokens
	TailIDs   []vaneyoke.TokenID // tokens that the backup had not confirmed
	TailTextFrom    int                // offset of the tail's text
	TailText  []byte
	Stream    uint64 // digest of the name of the engine's stream that gave the last token, 0 where there is none
}

// TextDigest returns the digest of the text that a caller holds.
func TextDigest(text []byte) uint64 { return xxhash.Sum64(text) }

// StreamDigest returns the digest of an engine's stream, 0 for none.
func StreamDigest(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name)
}

// Keyring holds the fleet's secrets: the first signs, and all are taken in checks, so that they can be rolled.
type Keyring struct{ macs []*sync.Pool } // of hash.Hash, one pool for each secret

const (
	encodedBytes = 256 // room for a usual cursor
	macRoom      = sha256.Size
)

// NewKeyring returns a keyring of the given secrets.
func NewKeyring(keys ...string) *Keyring {
	ring := &Keyring{}
	for _, key := range keys {
		sum := sha256.Sum256([]byte("vaneyoke cursor " + key))
		ring.macs = append(ring.macs, &sync.Pool{New: func() any { return hmac.New(sha256.New, sum[:]) }})
	}
	return ring
}

// Encode returns the cursor in the form that callers see.
func (k *Keyring) Encode(c Cursor) string {
	buf := make([]byte, 0, encodedBytes)
	buf = append(buf, formatVersion)
	buf = appendText(buf, string(c.Workspace))
	buf = appendText(buf, string(c.Request))
	buf = appendText(buf, string(c.Owner))
	buf = appendText(buf, string(c.Backup))
	buf = binary.AppendUvarint(buf, uint64(c.Offset))
	buf = binary.LittleEndian.AppendUint64(buf, c.Digest)
	buf = binary.AppendUvarint(buf, uint64(c.TailFrom))
	buf = binary.AppendUvarint(buf, uint64(len(c.TailIDs)))
	for _, id := range c.TailIDs {
		buf = binary.AppendUvarint(buf, uint64(uint32(id)))
	}
	buf = binary.AppendUvarint(buf, uint64(c.TailTextFrom))
	buf = appendText(buf, string(c.TailText))
	buf = binary.LittleEndian.AppendUint64(buf, c.Stream)
	buf = appendMAC(buf, k.macs[0], buf)
	return base64.RawURLEncoding.EncodeToString(buf)
}

func appendText(buf []byte, text string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(text)))
	return append(buf, text...)
}

// appendMAC appends the code that only a holder of the secret can find for data.
func appendMAC(buf []byte, secret *sync.Pool, data []byte) []byte {
	h, ok := secret.Get().(hash.Hash)
	if !ok {
		return buf
	}
	defer secret.Put(h)
	h.Reset()
	_, _ = h.Write(data)
	var sum [macRoom]byte
	return append(buf, h.Sum(sum[:0])[:macBytes]...)
}

// Decode checks and reads a cursor that a caller showed.
func (k *Keyring) Decode(text string) (Cursor, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes || strings.ContainsAny(text, "\r\n") {
		return Cursor{}, errBadCursor()
	}
	data, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !k.signed(data, sum) {
		return Cursor{}, errBadCursor()
	}
	r := reader{data: data}
	if r.byte() != formatVersion {
		return Cursor{}, errBadCursor()
	}
	c := r.cursor()
	if r.failed || len(r.data) > 0 {
		return Cursor{}, errBadCursor()
	}
	return c, nil
}

func (k *Keyring) signed(data, sum []byte) bool {
	for _, secret := range k.macs {
		if hmac.Equal(appendMAC(nil, secret, data), sum) {
			return true
		}
	}
	return false
}

func errBadCursor() error {
	return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "header.Last-Event-ID", "is no cursor of this fleet")
}

// reader takes the fields of a cursor off its data.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) cursor() Cursor {
	c := Cursor{
		Workspace: vaneyoke.WorkspaceID(r.text()),
		Request:   vaneyoke.RequestID(r.text()),
		Owner:     vaneyoke.VMID(r.text()),
		Backup:    vaneyoke.VMID(r.text()),
		Offset:    r.number(),
		Digest:    r.digest(),
		TailFrom:  vaneyoke.Tokens(r.number()),
	}
	count := r.number()
	if count > len(r.data) {
		r.failed = true
		return Cursor{}
	}
	for range count {
		c.TailIDs = append(c.TailIDs, vaneyoke.TokenID(uint32(r.number())))
	}
	c.TailTextFrom = r.number()
	c.TailText = []byte(r.text())
	c.Stream = r.digest()
	return c
}

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.failed = true
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *reader) number() int {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > 1<<62 {
		r.failed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return int(v)
}

func (r *reader) digest() uint64 {
	const size = 8
	if len(r.data) < size {
		r.failed = true
		return 0
	}
	v := binary.LittleEndian.Uint64(r.data)
	r.data = r.data[size:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if n > maxField || n > len(r.data) {
		r.failed = true
		r.data = nil
		return ""
	}
	text := string(r.data[:n])
	r.data = r.data[n:]
	return text
}
