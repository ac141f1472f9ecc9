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

// marked are the kinds of datagram that begin with a mark before their JSON. No JSON text begins so: builds that know none of them pass
// over all, and one that knows some passes over the others.
const (
	unmarked   = 0x00 // a datagram without a mark
	markLimits = 0x01
)

// mostDatagram is the size of the largest datagram that is sent: nodes of all builds read so much of one.
const mostDatagram = maxOfferBytes

// firstUnmarked is the first byte that is no mark.
const firstUnmarked = ' '

// OnLimits sets what takes in messages of limits; it is called once, before the node runs.
func (n *Node) OnLimits(take func(ratelimits.Message)) { n.takeLimits = take }

// OnNeighbours sets what takes in the nodes next to this one in the tree; it is called once, before the node runs.
func (n *Node) OnNeighbours(take func([]vaneyoke.VMID)) { n.takeNeighbours = take }

// SendLimits sends a message to a member whose build takes it.
func (n *Node) SendLimits(to vaneyoke.VMID, m ratelimits.Message) {
	member, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == to })
	if !ok || member.Protocol < feed.ProtocolLimits {
		return
	}
	if len(m.Notices) == 0 {
		n.sendMessage(member, markLimits, m)
		return
	}
	sendInParts(n, member, markLimits, m.Notices, func(part []ratelimit.Notice) any { return ratelimits.Message{By: m.By, Notices: part} })
}

// sendInParts sends things that are told together in as many datagrams as they need, since nodes of all builds read so much of one, and returns
// how many of them went out; one that is too large by itself does not. An unmarked datagram has no mark.
func sendInParts[T any](n *Node, to feed.Member, mark byte, all []T, message func(part []T) any) (sent int) {
	switch n.sendMessage(to, mark, message(all)) {
	case messageSent:
		return len(all)
	case messageTooLarge:
		if len(all) < 2 {
			n.metrics.tooLarge()
			return 0
		}
		half := len(all) / 2
		return sendInParts(n, to, mark, all[:half], message) + sendInParts(n, to, mark, all[half:], message)
	default:
		return 0
	}
}

// sending is what became of a message.
type sending int

const (
	messageLost sending = iota
	messageSent
	messageTooLarge
)

// sendMessage sends a message in a datagram, behind its mark where it has one.
func (n *Node) sendMessage(to feed.Member, mark byte, message any) sending {
	data, err := json.Marshal(message)
	if err != nil {
		n.log.WithField("error", err).Error("frame_unwritable")
		return messageLost
	}
	if mark != unmarked {
		data = append([]byte{mark}, data...)
	}
	switch {
	case len(data) > mostDatagram:
		return messageTooLarge
	case n.sendDatagram(to, data):
		return messageSent
	default:
		return messageLost
	}
}

// sendDatagram sends a datagram, and reports whether it went out.
func (n *Node) sendDatagram(to feed.Member, data []byte) bool {
	conn := n.datagrams.Load()
	if conn == nil {
		return false
	}
	address, err := net.ResolveUDPAddr("udp4", to.Address)
	if err != nil {
		return false
	}
	_, err = (*conn).WriteTo(data, address)
	return err == nil
}

// takeMarked takes in a datagram that begins with a mark; one of a kind that is not known is left aside.
func (n *Node) takeMarked(data []byte) {
	var m ratelimits.Message
	if data[0] != markLimits || n.takeLimits == nil || json.Unmarshal(data[1:], &m) != nil {
		n.metrics.passedOver()
		return
	}
	n.takeLimits(m)
}
