package share

import (
	"hash/fnv"
	"math"
	"math/bits"

	"github.com/vaneyoke/vaneyoke"
)

const sketchBits = 256

// Sketch estimates the number of distinct workspaces by linear counting: each sets one bit, whichever node it is counted at.
type Sketch [sketchBits / 8]byte

// Add counts a workspace.
func (s *Sketch) Add(workspace vaneyoke.WorkspaceID) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace)) // never fails
	sum := hash.Sum64()
	bit := byte(sum ^ sum>>16 ^ sum>>32 ^ sum>>48) //nolint:gosec // the low bits
	s[bit/8] |= 1 << (bit % 8)
}

// Merge counts what another sketch has counted.
func (s *Sketch) Merge(other Sketch) {
	for i := range s {
		s[i] |= other[i]
	}
}

// Count returns the estimated number of workspaces; it cannot tell more than about 1,400.
func (s *Sketch) Count() int {
	unset := sketchBits
	for _, b := range s {
		unset -= bits.OnesCount8(b)
	}
	return int(math.Round(sketchBits * math.Log(sketchBits/float64(max(unset, 1)))))
}
