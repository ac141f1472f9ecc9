package duties

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

func (n *Node) tickLease(now time.Time, name lease.Name, want bool) {
	d := n.duties[name]
	var event lease.Event = lease.Tick{Want: want, Drained: d.drained(now)}
	if n.stopping {
		event = lease.NodeStopping{Drained: d.drained(now)}
	}
	n.handleLeaseLocked(now, name, event)
}

// handleLeaseLocked passes an event to a lease and carries out its effects.
func (n *Node) handleLeaseLocked(now time.Time, name lease.Name, event lease.Event) {
	for _, effect := range n.duties[name].Handle(now, event) {
		switch e := effect.(type) {
		case lease.Write:
			go n.writeLease(name, e.Row)
		case lease.Acquired:
			n.metrics.counts.Add("leases_gained_total", 1)
			n.log.WithFields(logrus.Fields{
				"duty": name, "fence": uint64(e.Token), "before": e.Previous.Holder, "before_fence": uint64(e.Previous.Token), "clean": e.Previous.Released && e.Previous.Drained,
			}).Info("lease_gained")
		case lease.Lost:
			n.metrics.counts.Add("leases_lost_total", 1)
			n.log.WithFields(logrus.Fields{"duty": name, "fence": uint64(e.Token), "reason": e.Reason}).Info("lease_lost")
		}
	}
}

// writeLease writes a lease's row. The lease runs from the time at which the write is sent, which is therefore read before the call.
func (n *Node) writeLease(name lease.Name, row lease.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseWriteTimeout)
	defer cancel()
	n.metrics.counts.Add("lease_writes_total", 1)
	sentAt := steady.Now()
	current, err := n.leases.Write(ctx, name, row)
	var event lease.Event
	switch {
	case err == nil:
		event = lease.Written{Row: current, SentAt: sentAt}
	case vaneyoke.CodeOf(err) == vaneyoke.CodeStoreRace:
		event = lease.Conflict{Row: current}
	default:
		n.log.WithFields(logrus.Fields{"duty": name, "fence": uint64(row.Token), "error": err}).Info("lease_unwritten")
		event = lease.Failed{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleLeaseLocked(steady.Now(), name, event)
}

// callEndedLocked records the outcome of a call made under a lease.
func (n *Node) callEndedLocked(now time.Time, name lease.Name, token lease.FencingToken, reply Reply, refused bool) {
	d := n.duties[name]
	d.inFlight--
	if reply == ReplyNone {
		d.unansweredAt = now
	}
	if refused {
		n.handleLeaseLocked(now, name, lease.Refused{Token: token})
	}
}
