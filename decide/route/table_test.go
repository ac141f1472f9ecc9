package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/route"
)

func table() *route.Table {
	routes := []route.Route{
		{ID: "short", Host: "Stall.example", Prefix: "/a/", Targets: []route.Target{{Service: "one", Weight: 1}}},
		{ID: "long", Host: "stall.example", Prefix: "/a/b/", Public: true},
		{ID: "other", Host: "yard.example", Prefix: "/a/"},
	}
	workspaces := []route.Workspace{{ID: "weavers", Keys: []string{"k1", "k2"}}}
	return route.NewTable(3, routes, []route.Service{{ID: "one", MaxConnections: 7}}, workspaces, route.Limits{BodyBytes: 9})
}

func TestFind(t *testing.T) {
	cases := map[string]struct {
		host, path string
		want       vaneyoke.RouteID // "" for none
	}{
		"prefix":              {"stall.example", "/a/x", "short"},
		"longest prefix":      {"stall.example", "/a/b/x", "long"},
		"the prefix itself":   {"stall.example", "/a/b/", "long"},
		"part of a name":      {"stall.example", "/a/bc", "short"},
		"without its slash":   {"stall.example", "/a", ""},
		"other host":          {"yard.example", "/a/b/x", "other"},
		"host with port":      {"stall.example:8080", "/a/x", "short"},
		"host in capitals":    {"STALL.example", "/a/x", "short"},
		"unknown host":        {"barn.example", "/a/x", ""},
		"host within another": {"all.example", "/a/x", ""},
		"unknown path":        {"stall.example", "/", ""},
		"path with dot-dot":   {"stall.example", "/b/../a/x", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			found, ok := table().Find(tc.host, tc.path)
			must.EqOp(t, tc.want != "", ok)
			if ok {
				must.EqOp(t, tc.want, found.ID)
			}
		})
	}
}

func TestWorkspace(t *testing.T) {
	tbl := table()
	short, _ := tbl.Find("stall.example", "/a/x")
	public, _ := tbl.Find("stall.example", "/a/b/x")
	cases := map[string]struct {
		route *route.Route
		key   string
		want  vaneyoke.WorkspaceID
		code  vaneyoke.Code
	}{
		"known":                {short, "k2", "weavers", vaneyoke.CodeOK},
		"none":                 {short, "", "", vaneyoke.CodeNoKey},
		"unknown":              {short, "k3", "", vaneyoke.CodeUnknownKey},
		"public, none":         {public, "", "", vaneyoke.CodeOK},
		"public, unknown":      {public, "k3", "", vaneyoke.CodeOK},
		"public, but known":    {public, "k1", "weavers", vaneyoke.CodeOK},
		"key that is a prefix": {short, "k", "", vaneyoke.CodeUnknownKey},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w, err := tbl.Workspace(tc.route, tc.key)
			must.EqOp(t, tc.code, vaneyoke.CodeOf(err))
			must.EqOp(t, tc.want, w.ID)
		})
	}
	keyless := route.NewTable(1, nil, nil, nil, route.Limits{})
	_, err := keyless.Workspace(short, "")
	must.NoError(t, err)
}

func TestServiceAtFollowsWeights(t *testing.T) {
	r := route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := map[vaneyoke.ServiceID]int{}
	for i := range 1000 {
		counts[r.ServiceAt(float64(i)/1000)]++
	}
	must.Eq(t, map[vaneyoke.ServiceID]int{"a": 900, "b": 100}, counts)
	must.EqOp(t, "a", (&route.Route{Targets: []route.Target{{Service: "a"}}}).ServiceAt(0.5))
	must.EqOp(t, "", (&route.Route{}).ServiceAt(0.5))
}

func TestRepeatable(t *testing.T) {
	must.True(t, (&route.Route{Kind: route.KindRepeatable}).Repeatable())
	must.True(t, (&route.Route{Kind: route.KindStream, Resumable: true}).Repeatable())
	must.False(t, (&route.Route{Kind: route.KindStream}).Repeatable())
	must.False(t, (&route.Route{Kind: route.KindOnce, Resumable: true}).Repeatable())
}

func TestServiceAndLimits(t *testing.T) {
	must.EqOp(t, 7, table().Service("one").MaxConnections)
	must.Eq(t, route.Service{ID: "two"}, table().Service("two"))
	must.EqOp(t, int64(9), table().Limits().BodyBytes)
	must.EqOp(t, vaneyoke.Revision(3), table().Version())
}

func TestStreamServicesWithRoutesOfDifferentPriority(t *testing.T) {
	to := func(services ...vaneyoke.ServiceID) []route.Target {
		var targets []route.Target
		for _, s := range services {
			targets = append(targets, route.Target{Service: s, Weight: 1})
		}
		return targets
	}
	routes := []route.Route{
		{ID: "urgent", Host: "a", Kind: route.KindStream, Priority: 0, Targets: to("lm", "large")},
		{ID: "routine", Host: "b", Kind: route.KindStream, Priority: 3, Targets: to("lm")},
		{ID: "call", Host: "a", Kind: route.KindRepeatable, Priority: 5, Targets: to("large", "shop")},
		{ID: "same", Host: "c", Kind: route.KindStream, Priority: 3, Targets: to("small")},
		{ID: "same too", Host: "d", Kind: route.KindStream, Priority: 3, Targets: to("small")},
	}
	table := route.NewTable(1, routes, nil, nil, route.Limits{})
	must.Eq(t, map[vaneyoke.ServiceID]bool{"lm": true, "large": false, "small": false}, table.StreamServices())
	must.Eq(t, map[string][]vaneyoke.ServiceID{"a": {"lm", "large"}, "b": {"lm"}, "c": {"small"}, "d": {"small"}}, table.StreamTargets())
}
