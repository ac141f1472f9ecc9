// Package rendezvous ranks names for a key, so that all who know the same names agree without a word.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key ranks names for one key.
type Hasher struct{ digest xxhash.Digest }

// Of returns the ranks for a key.
func NewHasher(key string) Hasher {
	var k Hasher
	k.digest.Reset()
	_, _ = k.digest.WriteString(key)
	_, _ = k.digest.WriteString("\x00")
	return k
}

// Score returns a name's rank for the key; the name with the highest is the key's. Where names come or go, only the keys
// of those names move.
func (k Hasher) Score(name string) uint64 {
	_, _ = k.digest.WriteString(name)
	return k.digest.Sum64()
}

// Score returns a name's rank for a key.
func Score(key, name string) uint64 { return NewHasher(key).Score(name) }
