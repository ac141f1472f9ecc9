package failover

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// testCallTimeout is how long a node waits for another one's answer.
const testCallTimeout = 300 * time.Millisecond

var errNoAnswer = vaneyoke.Err(vaneyoke.CodeNotFresh, "no answer")

// testFleet is a fleet of nodes that call one another without a network, and one engine.
type testFleet struct {
	engine *testEngine
	nodes  map[vaneyoke.VMID]*testFleetNode

	mu     sync.Mutex
	faults map[vaneyoke.VMID]peerFault
}

// peerFault is what becomes of the calls that a node gets.
type peerFault int

const (
	peerRefuses   peerFault = iota + 1 // connections
	peerIsSilent                       // does nothing
	peerLosesNext                      // carries out the next call to hand a session over, and its answer is lost
)

type testFleetNode struct {
	*Manager
	vm       vaneyoke.VMID
	fleet    *testFleet
	mu       sync.Mutex
	journals *journal.Store
	stop     context.CancelFunc
}

// newTestFleet starts nodes, which run until the test ends.
func newTestFleet(t *testing.T, vms ...vaneyoke.VMID) *testFleet {
	f := &testFleet{engine: newTestEngine(), nodes: map[vaneyoke.VMID]*testFleetNode{}, faults: map[vaneyoke.VMID]peerFault{}}
	log := logrus.New()
	log.SetOutput(t.Output())
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	for _, vm := range vms {
		client := &http.Client{Transport: f.engine}
		config := relay.Config{Generation: generation.DefaultConfig(), CallSilence: time.Hour, UnaryTimeout: time.Hour}
		config.Generation.Silence = generation.Silence{FirstToken: time.Hour, Floor: time.Hour, Ceiling: time.Hour, Patience: 1}
		r := relay.New(engine.New(client, client), nil, onePlacer{}, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
		n := &testFleetNode{vm: vm, fleet: f, journals: journal.New(journal.Config{MaxBytes: 1 << 20, Retention: time.Hour})}
		n.Manager = New(vaneyoke.NodeID{VM: vm}, "a", Config{
			PushPeriod: 250 * time.Millisecond, AckTimeout: 250 * time.Millisecond, Linger: 30 * time.Second, Retention: time.Minute, MaxTailIDs: 32,
		}, cursor.NewKeyring("key"), n, f, r, allClaims{}, NewMetrics(new(expvar.Map).Init()), log)
		var ctx context.Context
		ctx, n.stop = context.WithCancel(t.Context())
		go n.Run(ctx)
		f.nodes[vm] = n
	}
	return f
}

// close ends all nodes, and waits until the engine's runs have ended.
func (f *testFleet) close() {
	for _, n := range f.nodes {
		n.stop()
		n.relay.Close()
	}
	time.Sleep(time.Hour)
}

// spoil sets what becomes of the calls that a node gets.
func (f *testFleet) spoil(vm vaneyoke.VMID, fault peerFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[vm] = fault
}

func (f *testFleet) fault(vm vaneyoke.VMID) peerFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults[vm]
}

func (f *testFleet) View() *membership.View {
	return membership.NewView(lo.Map(lo.Keys(f.nodes), func(vm vaneyoke.VMID, _ int) membership.Peer {
		return membership.Peer{VM: vm, DataCentre: "a", Address: string(vm)}
	}))
}

func (f *testFleet) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{ID: id, URL: "http://engine"}, true
}

// reach returns a peer after the time that a call takes.
func (n *testFleetNode) reach(ctx context.Context, p membership.Peer) (*testFleetNode, error) {
	to := n.fleet.nodes[p.VM]
	if to == n {
		return to, nil
	}
	switch n.fleet.fault(p.VM) {
	case peerRefuses:
		return nil, errNoAnswer
	case peerIsSilent:
		return nil, silence(ctx)
	default:
		time.Sleep(time.Millisecond)
		return to, nil
	}
}

// silence waits for an answer that does not come.
func silence(ctx context.Context) error {
	select {
	case <-time.After(testCallTimeout):
	case <-ctx.Done():
	}
	return errNoAnswer
}

func (n *testFleetNode) Open(ctx context.Context, p membership.Peer, key journal.Key, entry journal.Entry) (journal.Entry, bool, error) {
	to, err := n.reach(ctx, p)
	if err != nil {
		return journal.Entry{}, false, err
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	existing, found := to.journals.Open(time.Now(), key, entry)
	return existing, found, nil
}

func (n *testFleetNode) Push(ctx context.Context, p membership.Peer, deltas []journal.Delta) ([]journal.PushOutcome, error) {
	to, err := n.reach(ctx, p)
	if err != nil {
		return nil, err
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	return lo.Map(deltas, func(d journal.Delta, _ int) journal.PushOutcome { return to.journals.Push(time.Now(), onWire(d)) }), nil
}

func (n *testFleetNode) TakeOver(ctx context.Context, p membership.Peer, key journal.Key, owner vaneyoke.NodeID, fromOwner bool) (journal.Delta, bool, error) {
	to, err := n.reach(ctx, p)
	if err != nil {
		return journal.Delta{}, false, err
	}
	var d journal.Delta
	var ok bool
	switch {
	case fromOwner && to == n:
	case fromOwner:
		d, ok = to.HandOver(key, owner)
	default:
		to.mu.Lock()
		d, ok = to.journals.TakeOver(time.Now(), key, owner)
		to.mu.Unlock()
	}
	if n.fleet.fault(p.VM) == peerLosesNext && fromOwner {
		n.fleet.spoil(p.VM, 0)
		return journal.Delta{}, false, silence(ctx)
	}
	if to != n {
		d = onWire(d)
	}
	return d, ok, nil
}

// onWire returns what another node gets of a delta, which shares no memory with it.
func onWire(d journal.Delta) journal.Delta {
	d.IDs, d.Text, d.Prompt = slices.Clone(d.IDs), slices.Clone(d.Text), slices.Clone(d.Prompt)
	return d
}

// allClaims grants each claim.
type allClaims struct{}

func (allClaims) Acquire(context.Context, claims.Request) error { return nil }

// onePlacer places each request on the engine.
type onePlacer struct{ relay.Placer }

func (onePlacer) Admit(placement.Need) {}
func (onePlacer) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	return vaneyoke.Upstream{ID: "e", URL: "http://engine"}, 0, nil
}
func (onePlacer) Ended(vaneyoke.UpstreamID, placement.Outcome, bool)    {}
func (onePlacer) FirstToken(vaneyoke.UpstreamID, time.Duration, int)    {}
func (onePlacer) PromptHolders(placement.Need) []vaneyoke.Upstream      { return nil }
func (onePlacer) AffinityUpstreams(placement.Need) []vaneyoke.Upstream  { return nil }
func (onePlacer) SpilloverUpstreams(placement.Need) []vaneyoke.Upstream { return nil }
func (onePlacer) HasRoom(placement.Need) bool                           { return true }
func (onePlacer) Reported(vaneyoke.UpstreamID, vaneyoke.LoadReport)     {}
func (onePlacer) ReleaseReplica(vaneyoke.UpstreamID, placement.Need)    {}
func (onePlacer) Resumed(vaneyoke.UpstreamID)                           {}
func (onePlacer) RefundRetry(placement.Need)                            {}
func (onePlacer) PickReplica(placement.Need, vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{}, false
}

// testCaller asks for one answer, at several nodes in turn.
type testCaller struct {
	fleet   *testFleet
	request vaneyoke.Request
	cursor  string
	text    string
}

// newTestCaller returns a caller of an answer in one body, or of a stream.
func newTestCaller(f *testFleet, stream, repeatable bool) *testCaller {
	return &testCaller{fleet: f, request: vaneyoke.Request{
		Workspace: "w", Endpoint: vaneyoke.EndpointChat, Model: "m", Stream: stream, Continuable: stream, Repeatable: repeatable, MaxWait: 30 * time.Second,
	}}
}

// ask asks a node for the answer, reads it for a time at most, and leaves. It returns the code with which it ended, and CodeCallerGone if it has not.
func (c *testCaller) ask(t *testing.T, vm vaneyoke.VMID, limit time.Duration) vaneyoke.Code {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	req := c.request
	req.ID, req.ReceivedAt, req.Fields = vaneyoke.RequestID(fmt.Sprintf("r-%s-%d", vm, time.Now().UnixNano())), time.Now(), vaneyoke.Fields{}
	r, err := c.fleet.nodes[vm].Manager.Open(ctx, OpenRequest{Request: &req, Body: []byte("body"), IdempotencyKey: "k", Cursor: c.cursor})
	if err != nil {
		return vaneyoke.CodeOf(err)
	}
	defer r.Close(true)
	if !req.Stream {
		result, err := r.Session().Wait(ctx)
		if err != nil {
			return vaneyoke.CodeOf(err)
		}
		return result.Code
	}
	for {
		chunk, result, err := r.Read(ctx)
		if err != nil {
			return vaneyoke.CodeOf(err)
		}
		if result.Ended {
			return result.Code
		}
		c.text += string(chunk.Text)
		c.cursor = chunk.Cursor
	}
}

// gone stops a node, which nobody reaches from then on.
func (f *testFleet) gone(vm vaneyoke.VMID) {
	f.nodes[vm].Release()
	f.nodes[vm].relay.Interrupt()
	f.nodes[vm].stop()
	f.spoil(vm, peerRefuses)
}
