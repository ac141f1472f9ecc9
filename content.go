package vaneyoke

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// ContentID identifies the content of a request: requests with the same path, workspace and body share one, whatever their request ids are.
type ContentID string

// contentIDBytes is the length of the truncated digest: the probability that any two of a billion contents collide is 1 in 10^11.
const contentIDBytes = 12

// NewContentID returns the digest of the given parts of a request; every node computes the same one.
func NewContentID(parts ...[]byte) ContentID {
	digest := sha256.New()
	for _, part := range parts { // writes to a hash never fail
		_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
		_, _ = digest.Write(part)
	}
	return ContentID(hex.EncodeToString(digest.Sum(nil)[:contentIDBytes]))
}
