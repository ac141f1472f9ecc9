package mesh

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
)

// dialectHeader tells, in a request to another node and in its answer, what the build of who sends it understands. A member's row tells it too, but
// may be that of a later build that ran on the VM before.
const dialectHeader = "Vaneyoke-Dialect"

// dialectOf returns what a message's headers tell; a number that is none stands for the first.
func dialectOf(header http.Header) feed.ProtocolVersion {
	number, err := strconv.Atoi(header.Get(dialectHeader))
	if err != nil || number < 0 {
		return feed.ProtocolInitial
	}
	return feed.ProtocolVersion(number)
}

func setDialect(header http.Header) {
	header.Set(dialectHeader, strconv.Itoa(int(feed.ProtocolCurrent)))
}

// neighbours knows what the builds of the nodes understand that this one follows, or that follow it, by their open connections.
type neighbours struct {
	mu     sync.Mutex
	speaks map[vaneyoke.VMID][]feed.ProtocolVersion // of each connection
}

// met notes a connection with a node; end is called when it has ended.
func (n *neighbours) met(vm vaneyoke.VMID, dialect feed.ProtocolVersion) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.speaks == nil {
		n.speaks = map[vaneyoke.VMID][]feed.ProtocolVersion{}
	}
	n.speaks[vm] = append(n.speaks[vm], dialect)
	return func() { n.parted(vm, dialect) }
}

func (n *neighbours) parted(vm vaneyoke.VMID, dialect feed.ProtocolVersion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.Index(n.speaks[vm], dialect)
	if n.speaks[vm] = slices.Delete(n.speaks[vm], i, i+1); len(n.speaks[vm]) == 0 {
		delete(n.speaks, vm)
	}
}

// dialect returns what a node's build understands, the first where there is no connection that tells.
func (n *neighbours) dialect(vm vaneyoke.VMID) feed.ProtocolVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.speaks[vm]) == 0 {
		return feed.ProtocolInitial
	}
	return slices.Min(n.speaks[vm])
}
