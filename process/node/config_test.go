package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/decide/backlog"
	"github.com/vaneyoke/vaneyoke/process/settings"
)

// TestFleetRetryBudgetIsSharedAmongNodes checks that the bursts of all nodes together add up to the fleet's limit less its margin.
func TestFleetRetryBudgetIsSharedAmongNodes(t *testing.T) {
	s := settings.Retry{Ratio: 0.2, Burst: 500, FleetRatio: 0.8, FleetBurst: 150}
	for _, members := range []int{1, 3, 7, 12, 88, 120, 295, 1043} {
		config := fleetBudgetConfig(s, members)
		must.InDelta(t, 150*fleetBudgetMargin, config.Burst*float64(members), 1e-9)
		must.Less(t, 0.8, config.Ratio)
	}
	s.FleetRatio, s.FleetBurst = 0, 0
	config := fleetBudgetConfig(s, 7)
	must.EqOp(t, 500, config.Burst)
	must.EqOp(t, 0.2, config.Ratio)
}

// TestSwitchesDoNotReachTheRelay checks that the settings turn off the refusal of useless attempts and the bounds on unread answers.
func TestSwitchesDoNotReachTheRelay(t *testing.T) {
	s := settings.Settings{Recovery: settings.Recovery{UsefulOnly: true}, Limits: settings.Limits{UnreadBytes: 1, BufferBytes: 2, StalledAfter: 3}}
	on := relayConfig(s)
	must.True(t, on.Generation.UsefulOnly)
	must.Eq(t, backlog.Limits{Caller: 1, Node: 2, Patience: 3}, on.Buffers)
	off := relayConfig(settings.Settings{})
	must.False(t, off.Generation.UsefulOnly)
	must.Eq(t, backlog.Limits{}, off.Buffers)
}
