package node

import (
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/decide/backlog"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/failover"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

func breakerConfig(s settings.Retry) retry.BreakerConfig {
	return retry.BreakerConfig{Failures: s.Failures, OpenFor: s.OpenFor, OpenMax: s.OpenMax}
}

// spreads maps the values of the setting.
var spreads = map[string]placement.Spread{
	placement.SpreadAuto.String(): placement.SpreadAuto, placement.SpreadOn.String(): placement.SpreadOn, placement.SpreadOff.String(): placement.SpreadOff,
}

func budgetConfig(s settings.Retry) retry.BudgetConfig {
	return retry.BudgetConfig{Ratio: s.Ratio, PerSecond: s.PerSecond, Burst: s.Burst}
}

const (
	fleetBudgetMargin = 0.8 // share of the fleet's retry limits that its nodes use
	defaultFleetSize  = 16  // number of nodes assumed until the membership is known
)

// fleetBudgetConfig returns the retry budget of a node, including its share of the fleet-wide limits if they are set.
func fleetBudgetConfig(s settings.Retry, members int) retry.BudgetConfig {
	config := budgetConfig(s)
	config.Window = s.FleetWindow
	if s.FleetRatio > 0 {
		config.Ratio = s.FleetRatio * fleetBudgetMargin
	}
	if s.FleetBurst > 0 {
		config.Burst = s.FleetBurst * fleetBudgetMargin / float64(max(members, 1)) // with less than one retry, the node borrows from other nodes
	}
	return config
}

func relayConfig(s settings.Settings) relay.Config {
	config := generation.DefaultConfig()
	config.MaxWait = s.Limits.MaxWait
	config.MaxLosses = s.Recovery.MaxLosses
	config.UsefulOnly = s.Recovery.UsefulOnly
	config.Silence = generation.Silence{
		FirstToken: s.Recovery.FirstToken,
		Floor:      s.Recovery.Floor,
		Ceiling:    s.Recovery.Ceiling,
		Deviations: s.Recovery.Deviations,
		Patience:   s.Recovery.Patience,
	}
	buffers := backlog.Limits{
		Caller: backlog.Bytes(s.Limits.UnreadBytes), Node: backlog.Bytes(s.Limits.MaxBufferBytes()), Patience: s.Limits.StalledAfter,
	}
	return relay.Config{Generation: config, Buffers: buffers, UneventfulLogEvery: uint64(s.Log.UneventfulLogEvery), CallSilence: s.Limits.CallSilence, UnaryTimeout: s.Limits.UnaryTimeout}
}

func apiConfig(s settings.Limits) callerapi.Config {
	return callerapi.Config{MaxBodyBytes: s.BodyBytes, MaxWait: s.MaxWait, WriteTimeout: s.WriteTimeout}
}

func failoverConfig(s settings.Peers) failover.Config {
	return failover.Config{
		PushPeriod: s.PushPeriod,
		AckTimeout: s.AckWait,
		Linger:     s.Linger,
		Retention:  s.Retention,
		MaxTailIDs: s.TailTokens,
	}
}
