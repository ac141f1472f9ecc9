package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// TestLeavingUpstreamGetsNoNewRequests removes engine 0 from service in each possible way while it generates an answer.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	drain := func(t *testing.T, f *fleet.Fleet) {
		code, body := callOperatorAPI(t, f, 1, operatorCall{method: http.MethodPost, path: "/v1/upstreams/engine-0/drain", key: fleet.OperatorKey})
		must.EqOp(t, "ok", code, must.Sprint(string(body)))
	}
	byPolicy := func(t *testing.T, f *fleet.Fleet) {
		o := submitPolicy("evening", "5s")
		o.body = map[string]string{"text": "[policy]\nname = evening\n[drain.now]\nupstreams = engine-0\n"}
		code, body := callOperatorAPI(t, f, 1, o)
		must.EqOp(t, "ok", code, must.Sprint(string(body)))
	}
	byVMList := func(t *testing.T, f *fleet.Fleet) {
		vms, err := f.Platform.Memory.List(t.Context())
		must.NoError(t, err)
		f.Platform.Memory.SetVMs(append(vms, store.VM{ID: "engine-vm-0", DataCentre: "hall-a", Leaving: true}))
	}
	remove := func(t *testing.T, f *fleet.Fleet) {
		code, _ := callOperatorAPI(t, f, 1, operatorCall{method: http.MethodDelete, path: "/v1/upstreams/engine-0", key: fleet.AdminKey})
		must.EqOp(t, "ok", code)
	}
	for name, leave := range map[string]func(*testing.T, *fleet.Fleet){"drained": drain, "by policy": byPolicy, "by the list of VMs": byVMList, "removed": remove} {
		t.Run(name, func(t *testing.T) {
			f := startMembers(t, 3, nil)
			finishAnswer := answerOnEngine0(t, f)
			leave(t, f)
			waitEngine0Excluded(t, f)
			before := f.Engines[0].Stats().Runs
			for i := range 24 {
				c := newCaller(t, f, fmt.Sprintf("after-%d", i))
				c.req.MaxTokens = 5
				s, err := c.connect(i % len(f.Nodes))
				must.NoError(t, err)
				must.ErrorIs(t, c.read(s, 100), io.EOF)
			}
			must.EqOp(t, before, f.Engines[0].Stats().Runs)
			finishAnswer()
		})
	}
}

// answerOnEngine0 starts an answer on engine 0, and returns a function that reads the rest and checks that it was not interrupted.
func answerOnEngine0(t *testing.T, f *fleet.Fleet) func() {
	t.Helper()
	setEngine0VM(t, f)
	for i := 0; ; i++ {
		before := f.Engines[0].Stats().Runs
		c := newCaller(t, f, fmt.Sprintf("before-%d", i))
		s, err := c.connect(0)
		must.NoError(t, err)
		must.NoError(t, c.read(s, 2))
		if f.Engines[0].Stats().Runs > before {
			return func() { must.SliceEmpty(t, c.readAll(s).Seams) }
		}
		_ = s.Close()
	}
}

// setEngine0VM configures the VM that engine 0 runs on.
func setEngine0VM(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	u := f.Upstreams()[0]
	u.VM = "engine-vm-0"
	row, err := f.Platform.Memory.Get(t.Context(), store.Key{Partition: catalog.PartitionUpstreams, ID: string(u.ID)})
	must.NoError(t, err)
	revision, err := catalog.Apply(t.Context(), f.Platform.Memory, catalog.Change{
		Partition: catalog.PartitionUpstreams, ID: string(u.ID), Value: u, ExpectedVersion: row.Version,
	})
	must.NoError(t, err)
	for _, n := range f.Nodes {
		for n.Revision() < revision {
			must.NoError(t, t.Context().Err())
			time.Sleep(time.Millisecond)
		}
	}
}

// waitEngine0Excluded waits until no node would send new requests to engine 0. It has no timeout of its own, because the wait depends on polls.
func waitEngine0Excluded(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		for n.AcceptsWork(vaneyoke.UpstreamID("engine-0")) {
			must.NoError(t, t.Context().Err())
			time.Sleep(time.Millisecond)
		}
	}
}
