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
	maxFieldBytes = 4 << 10 // maximum length of a name or text within a cursor
)

// Cursor records how much of an answer a caller has received, and the part of it that the backup may not have stored yet.
type Cursor struct {
	Workspace    vaneyoke.WorkspaceID
	Request      vaneyoke.RequestID
	Owner        vaneyoke.VMID // VM that served the answer
	Backup       vaneyoke.VMID // VM that stores its journal, "" for none
	Offset       int           // length in bytes of the text that the caller has received
	Digest       uint64        // digest of that text
	TailFrom     vaneyoke.Tokens
	TailIDs      []vaneyoke.TokenID // tokens that the backup had not confirmed
	TailTextFrom int                // byte offset of TailText within the answer
	TailText     []byte
	Stream       uint64 // digest of the name of the engine's stream that produced the last token, 0 for none
}

// TextDigest returns the digest of the text that a caller has received.
func TextDigest(text []byte) uint64 { return xxhash.Sum64(text) }

// StreamDigest returns the digest of the name of an engine's stream, 0 for none.
func StreamDigest(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name)
}

// Keyring holds the fleet's secrets. The first one signs and all are accepted in verification, so that secrets can be rotated.
type Keyring struct{ macPools []*sync.Pool } // of hash.Hash, one pool for each secret

const (
	typicalBytes = 256 // initial buffer size, enough for a typical cursor
	fullMACBytes = sha256.Size
)

// NewKeyring returns a keyring of the given secrets.
func NewKeyring(secrets ...string) *Keyring {
	ring := &Keyring{}
	for _, secret := range secrets {
		sum := sha256.Sum256([]byte("vaneyoke cursor " + secret))
		ring.macPools = append(ring.macPools, &sync.Pool{New: func() any { return hmac.New(sha256.New, sum[:]) }})
	}
	return ring
}

// Encode returns the signed text form of a cursor, which callers receive.
func (k *Keyring) Encode(c Cursor) string {
	buf := make([]byte, 0, typicalBytes)
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
	buf = appendMAC(buf, k.macPools[0], buf)
	return base64.RawURLEncoding.EncodeToString(buf)
}

func appendText(buf []byte, text string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(text)))
	return append(buf, text...)
}

// appendMAC appends the truncated HMAC of data; macs is the pool of HMACs of one secret.
func appendMAC(buf []byte, macs *sync.Pool, data []byte) []byte {
	h, ok := macs.Get().(hash.Hash)
	if !ok {
		return buf
	}
	defer macs.Put(h)
	h.Reset()
	_, _ = h.Write(data)
	var sum [fullMACBytes]byte
	return append(buf, h.Sum(sum[:0])[:macBytes]...)
}

// Decode verifies and decodes a cursor that a caller sent.
func (k *Keyring) Decode(text string) (Cursor, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes || strings.ContainsAny(text, "\r\n") {
		return Cursor{}, errBadCursor()
	}
	data, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !k.verify(data, sum) {
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

func (k *Keyring) verify(data, sum []byte) bool {
	for _, macs := range k.macPools {
		if hmac.Equal(appendMAC(nil, macs, data), sum) {
			return true
		}
	}
	return false
}

func errBadCursor() error {
	return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "header.Last-Event-ID", "is no cursor of this fleet")
}

// reader decodes the fields of a cursor in order.
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
	if n > maxFieldBytes || n > len(r.data) {
		r.failed = true
		r.data = nil
		return ""
	}
	text := string(r.data[:n])
	r.data = r.data[n:]
	return text
}
