// Package rendezvous implements rendezvous hashing: nodes that know the same names rank them for a key in the same order without communication.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hasher scores names for one key.
type Hasher struct{ digest xxhash.Digest }

// NewHasher returns a Hasher for key.
func NewHasher(key string) Hasher {
	var h Hasher
	h.digest.Reset()
	_, _ = h.digest.WriteString(key)
	_, _ = h.digest.WriteString("\x00")
	return h
}

// Score returns the score of a name for the key. The key belongs to the name with the highest score; when a name is added or removed, only
// the keys of that name move.
func (h Hasher) Score(name string) uint64 {
	_, _ = h.digest.WriteString(name)
	return h.digest.Sum64()
}

// Score returns the score of a name for a key.
func Score(key, name string) uint64 { return NewHasher(key).Score(name) }
