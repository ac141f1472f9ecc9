package mesh

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// maxReceivedBytes is the largest size accepted of a datagram and of a response to a status query.
const maxReceivedBytes = 2 << 10

// offer is a datagram that announces a node as a source of the tables.
type offer struct {
	From   feed.Member `json:"from"`
	Status tableStatus `json:"beat"`
}

// offer sends an offer to some members. A lost datagram is made up for by a later offer.
func (n *Node) offer(to []feed.Member) {
	o := offer{From: n.self, Status: newTableStatus(n.hub.Status(steady.Now()))}
	data, err := json.Marshal(o)
	if err != nil {
		n.log.WithField("error", err).Error("frame_unwritable")
		return
	}
	for _, m := range to {
		if n.sendDatagram(m.Address, data) {
			n.metrics.countOffer()
		}
	}
}

// listen receives datagrams until ctx is done. A node without an address gets no offers and finds a source by queries.
func (n *Node) listen(ctx context.Context) {
	if n.self.Address == "" {
		return
	}
	listen := n.config.ListenPacket
	if listen == nil {
		listen = new(net.ListenConfig).ListenPacket
	}
	conn, err := listen(ctx, "udp4", n.self.Address)
	if err != nil {
		n.log.WithField("error", err).Error("listen_failed")
		return
	}
	defer func() { _ = conn.Close() }() // the function registered below may not have been called when this one returns
	n.datagrams.Store(&conn)
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	buffer := make([]byte, maxReceivedBytes)
	for {
		size, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		n.handleDatagram(ctx, buffer[:size])
	}
}

// handleDatagram handles a datagram and ignores unknown ones.
func (n *Node) handleDatagram(ctx context.Context, data []byte) {
	if len(data) > 0 && data[0] < firstTextByte {
		n.handleTyped(data)
		return
	}
	if n.handleSightings(data) {
		return
	}
	var o offer
	if json.Unmarshal(data, &o) != nil || o.From.VM == "" || o.From.Address == "" {
		n.metrics.countIgnored()
		return
	}
	if o.From.VM != n.self.VM {
		n.handleOffer(ctx, o)
	}
}

// handleOffer handles an offer. Offers are logged only while this node lacks a table.
func (n *Node) handleOffer(ctx context.Context, o offer) {
	if own := n.hub.Status(steady.Now()); !own.Complete {
		n.log.WithFields(logrus.Fields{"peer": o.From.VM, "age_ms": o.Status.AgeMs, "reader": o.Status.Reader}).Info("tables_offered")
	}
	n.post(ctx, feed.OfferReceived{From: o.From, Status: o.Status.decode()})
}
