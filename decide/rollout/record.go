package rollout

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// Order asks for a service's requests to move to the upstreams of a version.
type Order struct {
	Service  vaneyoke.ServiceID
	Target   vaneyoke.SoftwareVersion
	Within   time.Duration     // time after the order by which the rollout must be in a final stage
	Revision vaneyoke.Revision // of the row that holds the order
}

// Stage is the progress of a rollout.
type Stage int

// The stages in order; the last two are final.
const (
	StageCanary    Stage = iota + 1 // a small share of the requests goes to the target
	StageRamp                       // a larger share, sent to so few of the target's upstreams that each bears its load after the rollout
	StageFull                       // the old upstreams get no new requests and finish those in flight
	StageCompleted                  // the old upstreams may be stopped
	StageReverted                   // the target's upstreams may be stopped
)

// String returns the stage's name in logs and rows.
func (s Stage) String() string {
	return names.Of(s, "none", "trial", "ramp", "full", "completed", "reverted")
}

// Final reports whether no stage follows.
func (s Stage) Final() bool { return s >= StageCompleted }

// Record is the state of a service's rollout in the store, which all nodes follow.
type Record struct {
	Service    vaneyoke.ServiceID
	Target     vaneyoke.SoftwareVersion
	Order      vaneyoke.Revision // of the order that started the rollout
	LastRepeat vaneyoke.Revision // revision of the last repeat of that order; 0 for none
	Stage      Stage
	Deadline   vaneyoke.StoreTime
	WrittenBy  vaneyoke.VMID // node that wrote the record
	Reason     Reason        // of a final stage
}

// Row is a record with the revision of its row in the store.
type Row struct {
	Record
	Revision vaneyoke.Revision
}

// appliesTo reports whether the record belongs to an order. Repeating an order while its rollout is in progress changes nothing. An order
// for another version starts a new rollout, and so does a repeat after a final stage whose deadline has passed.
func (r *Record) appliesTo(o Order, now vaneyoke.StoreTime) bool {
	if o.Revision <= r.latestOrder() {
		return true
	}
	return r.Target == o.Target && (!r.Stage.Final() || now < r.Deadline)
}

// latestOrder returns the revision of the latest order that the record is known to belong to.
func (r *Record) latestOrder() vaneyoke.Revision { return max(r.Order, r.LastRepeat) }
