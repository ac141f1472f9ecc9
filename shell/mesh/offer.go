package mesh

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// maxOfferBytes is the size of the largest offer, and of the largest answer to a question for an age, that is taken in.
const maxOfferBytes = 2 << 10

// offer is a datagram by which a node says that it can be asked for the tables.
type offer struct {
	From feed.Member `json:"from"`
	Beat beat        `json:"beat"`
}

// offer sends an offer to some members; one that is lost on the way is sent again in time.
func (n *Node) offer(to []feed.Member) {
	o := offer{From: n.self, Beat: beatOf(n.hub.Word(steady.Now()))}
	data, err := json.Marshal(o)
	if err != nil {
		n.log.WithField("error", err).Error("frame_unwritable")
		return
	}
	for _, m := range to {
		if n.sendDatagram(m, data) {
			n.metrics.offered()
		}
	}
}

// listen takes in datagrams until ctx ends; a node that cannot be offered the tables finds them by asking.
func (n *Node) listen(ctx context.Context) {
	if n.self.Address == "" {
		return
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", n.self.Address)
	if err != nil {
		n.log.WithField("error", err).Error("listen_failed")
		return
	}
	n.datagrams.Store(&conn)
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	buffer := make([]byte, maxOfferBytes)
	for {
		size, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		n.takeDatagram(ctx, buffer[:size])
	}
}

// takeDatagram takes in a datagram; one that is not understood is passed over.
func (n *Node) takeDatagram(ctx context.Context, data []byte) {
	if len(data) > 0 && data[0] < firstUnmarked {
		n.takeMarked(data)
		return
	}
	if n.takeSightings(data) {
		return
	}
	var o offer
	if json.Unmarshal(data, &o) != nil || o.From.VM == "" || o.From.Address == "" {
		n.metrics.passedOver()
		return
	}
	if o.From.VM != n.self.VM {
		n.takeOffer(ctx, o)
	}
}

// takeOffer takes in an offer; the log holds those that say something to a node whose own tables are missing or old.
func (n *Node) takeOffer(ctx context.Context, o offer) {
	if own := n.hub.Word(steady.Now()); !own.Complete {
		n.log.WithFields(logrus.Fields{"peer": o.From.VM, "age_ms": o.Beat.AgeMs, "reader": o.Beat.Reader}).Info("tables_offered")
	}
	n.post(ctx, feed.OfferReceived{From: o.From, Status: o.Beat.word()})
}
