package node

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/quarantine"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/quarantines"
)

// crashGuard tells a relay which requests end the upstreams that run them.
type crashGuard struct{ crashes *quarantines.Node }

// RecordCrash notes that an upstream ended as it began to run a request.
func (g crashGuard) RecordCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	g.crashes.RecordCrash(content, upstream, sentAt)
}

// RecordLossWithoutCrash notes that an upstream goes on which has lost a request as it began to run it.
func (g crashGuard) RecordLossWithoutCrash(content vaneyoke.ContentID, upstream vaneyoke.Upstream, sentAt time.Time) {
	g.crashes.RecordLossWithoutCrash(content, upstream, sentAt)
}

// RecordCompletion notes that an upstream has answered a request in whole.
func (g crashGuard) RecordCompletion(content vaneyoke.ContentID) { g.crashes.RecordCompletion(content) }

// Blocked reports whether what a request asks is sent to no upstream.
func (g crashGuard) Blocked(content vaneyoke.ContentID) (time.Duration, bool) {
	return g.crashes.Blocked(content)
}

// callerPlacer is the balancer of a node of the caller API, which counts crashes for itself.
type callerPlacer struct {
	*balancer.Balancer
	crashGuard
}

func quarantineConfig(s settings.Recovery) quarantine.Config {
	return quarantine.Config{CrashThreshold: s.Crashes, BlockDuration: s.Quarantine}
}
