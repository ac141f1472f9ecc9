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
	var event lease.Event = lease.Tick{Want: want, Drained: d.clean(now)}
	if n.leaving {
		event = lease.NodeStopping{Drained: d.clean(now)}
	}
	n.leaseLocked(now, name, event)
}

// leaseLocked gives an event to a lease and carries out what follows.
func (n *Node) leaseLocked(now time.Time, name lease.Name, event lease.Event) {
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

// writeLease writes a lease's row. The time at which it is sent is taken before, since the lease counts from then.
func (n *Node) writeLease(name lease.Name, row lease.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseWait)
	defer cancel()
	n.metrics.counts.Add("lease_writes_total", 1)
	sentAt := steady.Now()
	stands, err := n.leases.Write(ctx, name, row)
	var event lease.Event
	switch {
	case err == nil:
		event = lease.Written{Row: stands, SentAt: sentAt}
	case vaneyoke.CodeOf(err) == vaneyoke.CodeStoreRace:
		event = lease.Conflict{Row: stands}
	default:
		n.log.WithFields(logrus.Fields{"duty": name, "fence": uint64(row.Token), "error": err}).Info("lease_unwritten")
		event = lease.Failed{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaseLocked(steady.Now(), name, event)
}

// called notes how a call of a duty came out.
func (n *Node) called(now time.Time, name lease.Name, fence lease.FencingToken, reply Reply, refused bool) {
	d := n.duties[name]
	d.under--
	if reply == ReplyNone {
		d.silentAt = now
	}
	if refused {
		n.leaseLocked(now, name, lease.Refused{Token: fence})
	}
}
