package node

import (
	"expvar"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
)

// tableOf returns a table with a route of each priority to the same service.
func tableOf(priorities ...int) *route.Table {
	var routes []route.Route
	for _, p := range priorities {
		routes = append(routes, route.Route{Host: "a", Kind: route.KindStream, Priority: p, Targets: []route.Target{{Service: "lm", Weight: 1}}})
	}
	return route.NewTable(1, routes, nil, nil, route.Limits{})
}

func idleQueue() *admissions.Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return admissions.New(admission.Config{MaxQueued: 1}, pacing.New(), admissions.NewMetrics(new(expvar.Map).Init()), log)
}

// TestModesFollowTheConfiguration has a configuration change which routes lead to a service, and then leave it out.
func TestModesFollowTheConfiguration(t *testing.T) {
	for setting, want := range map[string][]string{
		"auto":    {"passive", "ranked", "passive", "ranked", "passive"},
		"ranked":  {"ranked", "ranked", "ranked", "ranked", "passive"},
		"passive": {"passive", "passive", "passive", "passive", "passive"},
	} {
		n := idleQueue()
		modes := newQueueModes(n, setting)
		var got []string
		for _, tbl := range []*route.Table{tableOf(1, 1), tableOf(0, 1), tableOf(2), tableOf(0, 1), tableOf()} {
			modes.apply(tbl)
			got = append(got, n.Queues().Services[0].Mode)
		}
		must.Eq(t, want, got, must.Sprint(setting))
		must.EqOp(t, vaneyoke.ServiceID("lm"), n.Queues().Services[0].Service)
		n.Close()
	}
}

// TestServiceWithUnevenUpstreamsIsRanked has the upstreams of a service with routes of one priority differ in speed, and then work alike again.
func TestServiceWithUnevenUpstreamsIsRanked(t *testing.T) {
	for setting, want := range map[string][]string{
		"auto":    {"passive", "ranked", "ranked", "ranked", "passive"},
		"ranked":  {"ranked", "ranked", "ranked", "ranked", "ranked"},
		"passive": {"passive", "passive", "passive", "passive", "passive"},
	} {
		n := idleQueue()
		modes := newQueueModes(n, setting)
		var got []string
		step := func(change func()) {
			change()
			got = append(got, n.Queues().Services[0].Mode)
		}
		step(func() { modes.apply(tableOf(1, 1)) })
		step(func() { modes.update("lm", true) })
		step(func() { modes.apply(tableOf(1, 1)) }) // a change of the configuration
		step(func() { modes.update("lm", true) })
		step(func() { modes.update("lm", false) })
		must.Eq(t, want, got, must.Sprint(setting))
		modes.update("unknown", true)
		must.Len(t, 1, n.Queues().Services)
		n.Close()
	}
}
