package node

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/quarantine"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/quarantines"
)

// crashGuard connects a relay to the quarantine of requests that crash the upstreams that run them.
type crashGuard struct{ crashes *quarantines.Node }

// RecordCrash records that an upstream crashed when it started to run a request.
func (g crashGuard) RecordCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	g.crashes.RecordCrash(content, upstream, sentAt)
}

// RecordLossWithoutCrash records that an upstream lost a request when it started to run it, but did not crash.
func (g crashGuard) RecordLossWithoutCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	g.crashes.RecordLossWithoutCrash(content, upstream, sentAt)
}

// RecordCompletion records that an upstream completed a request.
func (g crashGuard) RecordCompletion(content vaneyoke.ContentID) { g.crashes.RecordCompletion(content) }

// Blocked reports whether requests with this content are blocked, and for how long.
func (g crashGuard) Blocked(content vaneyoke.ContentID) (time.Duration, bool) {
	return g.crashes.Blocked(content)
}

// AwaitCrashes waits until the store's rows of crashes are known, or until ctx is done.
func (g crashGuard) AwaitCrashes(ctx context.Context) { g.crashes.AwaitRows(ctx) }

// callerPlacer is the balancer of a node with the caller API, which counts crashes on its own, without other nodes.
type callerPlacer struct {
	*balancer.Balancer
	crashGuard
}

func quarantineConfig(s settings.Recovery) quarantine.Config {
	return quarantine.Config{CrashThreshold: s.Crashes, BlockDuration: s.Quarantine}
}
