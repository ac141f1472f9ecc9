package mesh

import (
	"encoding/json"
	"net"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/ratelimit"
	"github.com/vaneyoke/vaneyoke/shell/ratelimits"
)

// The type byte precedes the JSON of a datagram, or a summary as decide/share encodes it. It is a control character, with which no JSON text
// starts, so builds without type bytes ignore such datagrams, and other builds ignore the types that they do not know.
const (
	typeNone   = 0x00 // no type byte is sent
	typeLimits = 0x01
	typeShares = 0x02
	typePins   = 0x03
)

// maxDatagramBytes is the largest datagram sent: the size that nodes of all builds receive in full.
const maxDatagramBytes = maxReceivedBytes

// firstTextByte is the lowest first byte of a datagram without a type byte.
const firstTextByte = ' '

// OnLimits sets the handler of messages about rate limits; it must be called at most once, before the node runs.
func (n *Node) OnLimits(handle func(ratelimits.Message)) { n.onLimits = handle }

// OnNeighbours sets the handler of changes of this node's neighbours in the tree; it must be called at most once, before the node runs.
func (n *Node) OnNeighbours(handle func([]vaneyoke.VMID)) { n.onNeighbours = handle }

// OnShares sets the handler of encoded summaries, which reports whether it could read one and must not keep the data; it must be called at most
// once, before the node runs.
func (n *Node) OnShares(handle func(data []byte) bool) { n.onShares = handle }

// OnPins sets the handler of encoded messages about streams, which reports whether it could read one and must not keep the data; it must be called at
// most once, before the node runs.
func (n *Node) OnPins(handle func(data []byte) bool) { n.onPins = handle }

// SendPins sends an encoded message about streams to the node at an address, whose build supports them, and reports whether it was sent.
func (n *Node) SendPins(address string, data []byte) bool {
	return len(data) < maxDatagramBytes && n.sendDatagram(address, append([]byte{typePins}, data...))
}

// OnTree sets the handler of changes of this node's place in the tree, whose parent is "" if the node follows none; it must be called at most once,
// before the node runs.
func (n *Node) OnTree(handle func(parent vaneyoke.VMID, children []vaneyoke.VMID)) { n.onTree = handle }

// SendShares sends an encoded summary to a neighbour, unless its build does not support them, and reports whether it was sent.
func (n *Node) SendShares(to vaneyoke.VMID, data []byte) bool {
	member, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == to })
	if !ok || n.neighbours.protocol(to) < feed.ProtocolShares || len(data) >= maxDatagramBytes {
		return false
	}
	return n.sendDatagram(member.Address, append([]byte{typeShares}, data...))
}

// SendLimits sends a message about rate limits to a member, unless its build does not support them.
func (n *Node) SendLimits(to vaneyoke.VMID, m ratelimits.Message) {
	member, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == to })
	if !ok || member.Protocol < feed.ProtocolLimits {
		return
	}
	if len(m.Notices) == 0 {
		n.sendMessage(member, typeLimits, m)
		return
	}
	sendInParts(n, member, typeLimits, m.Notices, func(part []ratelimit.Notice) any { return ratelimits.Message{From: m.From, Notices: part} })
}

// sendInParts sends items in as many datagrams as needed, since nodes receive only maxDatagramBytes of each, and returns the number of items
// sent. An item that is too large for a datagram is dropped.
func sendInParts[T any](n *Node, to feed.Member, typeByte byte, items []T, newMessage func(part []T) any) (sent int) {
	switch n.sendMessage(to, typeByte, newMessage(items)) {
	case sendSucceeded:
		return len(items)
	case sendTooLarge:
		if len(items) < 2 {
			n.metrics.countTooLarge()
			return 0
		}
		half := len(items) / 2
		return sendInParts(n, to, typeByte, items[:half], newMessage) + sendInParts(n, to, typeByte, items[half:], newMessage)
	default:
		return 0
	}
}

// sendResult is the outcome of sending a message.
type sendResult int

const (
	sendFailed sendResult = iota
	sendSucceeded
	sendTooLarge
)

// sendMessage sends a message in one datagram, after its type byte unless that is typeNone.
func (n *Node) sendMessage(to feed.Member, typeByte byte, message any) sendResult {
	data, err := json.Marshal(message)
	if err != nil {
		n.log.WithField("error", err).Error("frame_unwritable")
		return sendFailed
	}
	if typeByte != typeNone {
		data = append([]byte{typeByte}, data...)
	}
	switch {
	case len(data) > maxDatagramBytes:
		return sendTooLarge
	case n.sendDatagram(to.Address, data):
		return sendSucceeded
	default:
		return sendFailed
	}
}

// sendDatagram sends a datagram to an address and reports whether that succeeded.
func (n *Node) sendDatagram(to string, data []byte) bool {
	conn := n.datagrams.Load()
	if conn == nil {
		return false
	}
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return false
	}
	_, err = (*conn).WriteTo(data, address)
	return err == nil
}

// handleTyped handles a datagram that starts with a type byte, and ignores unknown types.
func (n *Node) handleTyped(data []byte) {
	known := false
	switch data[0] {
	case typeLimits:
		var m ratelimits.Message
		if known = n.onLimits != nil && json.Unmarshal(data[1:], &m) == nil; known {
			n.onLimits(m)
		}
	case typeShares:
		known = n.onShares != nil && n.onShares(data[1:])
	case typePins:
		known = n.onPins != nil && n.onPins(data[1:])
	}
	if !known {
		n.metrics.countIgnored()
	}
}
