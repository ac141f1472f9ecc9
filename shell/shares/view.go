package shares

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/share"
)

// minLogInterval is the minimum time between two log lines on whether the node knows the demand of others.
const minLogInterval = 10 * time.Second

// view tracks whether the totals include the demand of other nodes, and logs when that changes.
type view struct {
	log      logrus.FieldLogger
	logged   bool // whether the last line, or the start, was about totals without other nodes
	started  bool // whether totals of other nodes were ever known
	othersAt time.Time
	loggedAt time.Time
}

// update logs a change, unless the last line is too recent: then a later update does if it still holds.
func (v *view) update(now time.Time, totals share.Totals) {
	alone := totals.Nodes <= 1
	if !alone {
		v.started, v.othersAt = true, now
	}
	if !v.started || alone == v.logged || totals.Nodes == 0 || now.Sub(v.loggedAt) < minLogInterval && !v.loggedAt.IsZero() {
		return
	}
	v.logged, v.loggedAt = alone, now
	if alone {
		v.log.WithField("age_ms", now.Sub(v.othersAt).Milliseconds()).Info("shares_alone")
		return
	}
	v.log.WithField("nodes", totals.Nodes).Info("shares_joined")
}
