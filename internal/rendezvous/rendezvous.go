// Package rendezvous ranks names for a key, so that all who know the same names agree without a word.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns a name's rank for a key; the name with the highest is the key's. Where names come or go, only the keys
// of those names move.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
