package vaneyoke

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// ContentID names what a request asks: two requests with the same path, workspace and body have the same one, whatever their ids are.
type ContentID string

// contentBytes is the length of a content's digest: two of a billion contents have the same one with a chance of 1 in 10^11.
const contentBytes = 12

// NewContentID returns what a request asks, by the parts that tell it from others; it is the same at each node.
func NewContentID(parts ...[]byte) ContentID {
	digest := sha256.New()
	for _, part := range parts { // a digest takes all, and returns no error
		_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
		_, _ = digest.Write(part)
	}
	return ContentID(hex.EncodeToString(digest.Sum(nil)[:contentBytes]))
}
