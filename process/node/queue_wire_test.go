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

// TestModesFollowTheConfiguration has a configuration change which routes lead to a service, and then leave it out.
func TestModesFollowTheConfiguration(t *testing.T) {
	table := func(priorities ...int) *route.Table {
		var routes []route.Route
		for _, p := range priorities {
			routes = append(routes, route.Route{Host: "a", Kind: route.KindStream, Priority: p, Targets: []route.Target{{Service: "lm", Weight: 1}}})
		}
		return route.NewTable(1, routes, nil, nil, route.Limits{})
	}
	for setting, want := range map[string][]string{
		"auto":    {"passive", "ranked", "passive", "ranked", "passive"},
		"ranked":  {"ranked", "ranked", "ranked", "ranked", "passive"},
		"passive": {"passive", "passive", "passive", "passive", "passive"},
	} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := admissions.New(admission.Config{MaxQueued: 1}, pacing.New(), admissions.NewMetrics(new(expvar.Map).Init()), log)
		modes := newQueueModes(n, setting)
		var got []string
		for _, tbl := range []*route.Table{table(1, 1), table(0, 1), table(2), table(0, 1), table()} {
			modes.apply(tbl)
			got = append(got, n.Queues().Services[0].Mode)
		}
		must.Eq(t, want, got, must.Sprint(setting))
		must.EqOp(t, vaneyoke.ServiceID("lm"), n.Queues().Services[0].Service)
		n.Close()
	}
}
