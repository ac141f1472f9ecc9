package detours_test

import (
	"expvar"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
)

// newFleet starts nodes that know an upstream, and which of them ask which others for detours.
func newFleet(t *testing.T, upstream string, size int, asks func(from, to int) bool) []*testNode {
	nodes := make([]*testNode, size)
	for i := range nodes {
		nodes[i] = newNode(t, nodeID(i), 8)
		nodes[i].dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{upstream: "up"})
	}
	for i, n := range nodes {
		var members []feed.Member
		for k, other := range nodes {
			if asks(i, k) {
				members = append(members, feed.Member{VM: nodeID(k), DataCentre: "a", Address: other.address, Protocol: feed.ProtocolDetours})
			}
		}
		n.dialer.SetMembers(members)
	}
	return nodes
}

func nodeID(number int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprint("node-", number)) }

// mustHaveAskedNobody checks that a node has asked no other one for a detour.
func (n *testNode) mustHaveAskedNobody(t *testing.T) {
	t.Helper()
	dials := n.vars.Get("dials_total").(*expvar.Map) //nolint:errcheck,forcetypeassert // it is one
	dials.Do(func(kv expvar.KeyValue) { must.False(t, strings.HasPrefix(kv.Key, "detour"), must.Sprint(kv.Key)) })
}

// Guards against detours of more than one hop: each node can ask the next one only, and the last one alone reaches the upstream.
func TestHelperConnectsOverItsOwnDetours(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn) { _ = c.Close() })
	nodes := newFleet(t, upstream, 3, func(from, to int) bool { return to == from+1 })
	nodes[0].cut()
	nodes[1].cut()
	const tries = 5
	for range tries {
		_, err := nodes[0].dialer.DialContext(t.Context(), "tcp", upstream)
		must.Error(t, err)
	}
	must.Between(t, 1, nodes[1].link.Dials(), tries) // on the node's own path
	nodes[1].mustHaveAskedNobody(t)
	must.EqOp(t, 0, nodes[2].link.Dials())
	nodes[1].dial(t, upstream) // for itself it does
}

// Guards against requests for detours that go round in a fleet whose nodes have all lost their path.
func TestDetoursGoRoundWhereAllPathsAreLost(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn) { _ = c.Close() })
	nodes := newFleet(t, upstream, 5, func(from, to int) bool { return from != to })
	for _, n := range nodes {
		n.cut()
	}
	_, err := nodes[0].dialer.DialContext(t.Context(), "tcp", upstream)
	must.Error(t, err)
	for _, n := range nodes[1:] {
		must.LessEq(t, 1, n.link.Dials())
		n.mustHaveAskedNobody(t)
	}
	for _, n := range nodes {
		_, err := n.dialer.DialContext(t.Context(), "tcp", upstream)
		must.Error(t, err)
	}
	for _, n := range nodes {
		must.EqOp(t, 0, n.server.Open())
	}
}
