package mesh

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
)

// protocolHeader carries the protocol version of the sender's build, in requests between nodes and in their responses. A member's row states it
// too, but may have been written by a later build that ran on the VM before.
const protocolHeader = "Vaneyoke-Dialect"

// protocolOf returns the protocol version from a message's header; a missing or invalid one means the first.
func protocolOf(header http.Header) feed.ProtocolVersion {
	number, err := strconv.Atoi(header.Get(protocolHeader))
	if err != nil || number < 0 {
		return feed.ProtocolInitial
	}
	return feed.ProtocolVersion(number)
}

func setProtocol(header http.Header) {
	header.Set(protocolHeader, strconv.Itoa(int(feed.ProtocolCurrent)))
}

// neighbours holds the protocol versions of the source and the followers of this node, by their open connections.
type neighbours struct {
	mu        sync.Mutex
	protocols map[vaneyoke.VMID][]feed.ProtocolVersion // one per connection
}

// connected adds a connection with a node; the caller calls disconnect when it has ended.
func (n *neighbours) connected(vm vaneyoke.VMID, protocol feed.ProtocolVersion) (disconnect func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.protocols == nil {
		n.protocols = map[vaneyoke.VMID][]feed.ProtocolVersion{}
	}
	n.protocols[vm] = append(n.protocols[vm], protocol)
	return func() { n.disconnected(vm, protocol) }
}

func (n *neighbours) disconnected(vm vaneyoke.VMID, protocol feed.ProtocolVersion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.Index(n.protocols[vm], protocol)
	if n.protocols[vm] = slices.Delete(n.protocols[vm], i, i+1); len(n.protocols[vm]) == 0 {
		delete(n.protocols, vm)
	}
}

// protocol returns the lowest protocol version among a node's connections, the first if there is none.
func (n *neighbours) protocol(vm vaneyoke.VMID) feed.ProtocolVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.protocols[vm]) == 0 {
		return feed.ProtocolInitial
	}
	return slices.Min(n.protocols[vm])
}
