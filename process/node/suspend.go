package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// suspensionCheckInterval is the time between two checks whether the VM was suspended. It is half of the error that is allowed in
// the remaining time of a caller as sent to an upstream.
const suspensionCheckInterval = 250 * time.Millisecond

// watchSuspensions detects suspensions of the VM and has the relay count them against the deadlines of callers.
func watchSuspensions(ctx context.Context, r *relay.Relay, log logrus.FieldLogger) {
	steady.System().Watch(ctx, suspensionCheckInterval, func(suspended time.Duration) {
		log.WithField("ms", suspended.Milliseconds()).Warn("vm_suspended")
		r.Suspended(suspended)
	})
}
