package node

import (
	"github.com/vaneyoke/vaneyoke/callerapi"
	"github.com/vaneyoke/vaneyoke/failover"
	"github.com/vaneyoke/vaneyoke/generation"
	"github.com/vaneyoke/vaneyoke/relay"
	"github.com/vaneyoke/vaneyoke/retry"
	"github.com/vaneyoke/vaneyoke/settings"
)

func breakerConfig(s settings.Retry) retry.BreakerConfig {
	return retry.BreakerConfig{Failures: s.Failures, OpenFor: s.OpenFor, OpenMax: s.OpenMax}
}

func budgetConfig(s settings.Retry) retry.BudgetConfig {
	return retry.BudgetConfig{Ratio: s.Ratio, PerSecond: s.PerSecond, Burst: s.Burst}
}

func relayConfig(s settings.Settings) relay.Config {
	config := generation.DefaultConfig()
	config.MaxWait = s.Limits.MaxWait
	config.MaxLosses = s.Recovery.MaxLosses
	config.Silence = generation.Silence{
		FirstToken: s.Recovery.FirstToken,
		Floor:      s.Recovery.Floor,
		Ceiling:    s.Recovery.Ceiling,
		Deviations: s.Recovery.Deviations,
		Patience:   s.Recovery.Patience,
	}
	return relay.Config{Generation: config, PlainEvery: uint64(s.Log.PlainEvery), CallSilence: s.Limits.CallSilence, WholeLimit: s.Limits.WholeLimit}
}

func apiConfig(s settings.Limits) callerapi.Config {
	return callerapi.Config{BodyBytes: s.BodyBytes, MaxWait: s.MaxWait, WriteTimeout: s.WriteTimeout}
}

func failoverConfig(s settings.Peers) failover.Config {
	return failover.Config{
		PushPeriod: s.PushPeriod,
		AckWait:    s.AckWait,
		Linger:     s.Linger,
		Retention:  s.Retention,
		TailIDs:    s.TailTokens,
	}
}
