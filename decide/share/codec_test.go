package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

// TestSummaryIsGarbledOnTheWire encodes and decodes summaries with all fields.
func TestSummaryIsGarbledOnTheWire(t *testing.T) {
	var sketch share.Sketch
	sketch.Add("w")
	up := share.Summary{
		From: "vm-1", Sequence: 1_796_260_312_802, Height: 3, Acked: 7, Nodes: 60,
		Services: []share.ServiceShare{{
			Service:    "chat",
			Urgencies:  []share.UrgencyFlow{{Flow: share.Flow{Offered: 1, Admitted: 2, Waiting: 3, Rejected: 4}}, {Urgency: 9, Flow: share.Flow{Waiting: 511}}},
			Workspaces: []share.WorkspaceFlow{{Workspace: "w", Flow: share.Flow{Offered: 255, Admitted: 256}}},
			Others:     share.Flow{Offered: 512}, Sketch: sketch,
		}, {Service: "idle"}},
	}
	down := share.Summary{
		From: "vm-1", Sequence: math.MaxUint64, Down: true, Root: math.MaxUint32, Age: 1500 * time.Millisecond, Nodes: 1,
		Services: []share.ServiceShare{{Service: "chat", Active: 200, Overused: []share.Overuse{{Workspace: 7, Ratio: 11.25}, {Workspace: math.MaxUint32, Ratio: 1.5}}}},
	}
	for _, s := range []share.Summary{up, down, {From: "vm-1"}} {
		got, err := share.Decode(share.Encode(s))
		must.NoError(t, err)
		must.Eq(t, s, got)
	}
}

// TestAmountsAreRoundedTooMuch checks that amounts on the wire are off by no more than one in five hundred, and grow with what they stand for.
func TestAmountsAreRoundedTooMuch(t *testing.T) {
	last := vaneyoke.Tokens(0)
	for n := 1.; n < 1e12; n = math.Ceil(n * 1.01) {
		s := share.Summary{From: "vm-1", Services: []share.ServiceShare{{Service: "chat", Others: share.Flow{Offered: vaneyoke.Tokens(n)}}}}
		got, err := share.Decode(share.Encode(s))
		must.NoError(t, err)
		offered := got.Services[0].Others.Offered
		must.InDelta(t, n, float64(offered), n/500)
		must.GreaterEq(t, last, offered)
		last = offered
	}
}

// TestHostileSummaries decodes what no node of this build sends: it must be refused, or read without what cannot be true.
func TestHostileSummaries(t *testing.T) {
	number := func(b []byte, field protowire.Number, n uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), n)
	}
	text := func(b []byte, field protowire.Number, s string) []byte {
		return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
	}
	from := text(nil, 1, "vm-1")
	service := func(rest string) string { return string(text(nil, 1, "chat")) + rest }
	var manyServices []byte
	for i := range 100 {
		manyServices = text(manyServices, 8, string(text(nil, 1, fmt.Sprint("s", i))))
	}
	var manyWorkspaces, manyUrgencies, manyOverused []byte
	for i := range 100 {
		manyWorkspaces = text(manyWorkspaces, 3, string(text(nil, 1, fmt.Sprint("w", i))))
		manyUrgencies = text(manyUrgencies, 2, string(number(nil, 1, uint64(i))))
		manyOverused = append(manyOverused, "123456"...)
	}
	for name, c := range map[string]struct {
		data string
		want string // what is left of it; "" if it is refused
	}{
		"empty":                       {"", ""},
		"JSON":                        {`{"by":"vm-1"}`, ""},
		"of nobody":                   {string(number(nil, 2, 5)), ""},
		"cut off":                     {string(from[:3]), ""},
		"a name that is no text":      {string(text(nil, 1, "\xff\xfe")), ""},
		"a name that is too long":     {string(text(nil, 1, strings.Repeat("a", 129))), ""},
		"an unknown field":            {string(number(text(from, 99, "later"), 98, 7)), "0 services, 0 nodes"},
		"unknown kinds of fields":     {string(protowire.AppendFixed64(protowire.AppendTag(protowire.AppendFixed32(protowire.AppendTag(from, 7, protowire.Fixed32Type), 9), 97, protowire.Fixed64Type), 9)), "0 services, 0 nodes"},
		"a field of another kind":     {string(text(from, 7, "many")), "0 services, 0 nodes"},
		"more nodes than there are":   {string(number(from, 7, math.MaxUint64)), "0 services, 100000 nodes"},
		"a hundred services":          {string(append(from, manyServices...)), "8 services, 0 nodes"},
		"a service without a name":    {string(text(from, 8, string(number(nil, 5, 5)))), "0 services, 0 nodes"},
		"a broken service":            {string(text(from, 8, "\x0a\x7f")), ""},
		"a hundred workspaces":        {string(text(from, 8, service(string(manyWorkspaces)))), "1 services, 0 nodes; 24 workspaces, 0 urgencies, 0 overused, active 0"},
		"a hundred urgencies":         {string(text(from, 8, service(string(manyUrgencies)))), "1 services, 0 nodes; 0 workspaces, 10 urgencies, 0 overused, active 0"},
		"a hundred that are over":     {string(text(from, 8, service(string(text(nil, 7, string(manyOverused)))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 8 overused, active 0"},
		"an urgency out of range":     {string(text(from, 8, service(string(text(nil, 2, string(number(nil, 1, math.MaxUint64))))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 0 overused, active 0"},
		"a workspace without a name":  {string(text(from, 8, service(string(text(nil, 3, string(number(nil, 2, 5))))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 0 overused, active 0"},
		"more workspaces than exist":  {string(text(from, 8, service(string(number(nil, 5, math.MaxUint64))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 0 overused, active 1000000000000"},
		"a sketch that is too long":   {string(text(from, 8, service(string(text(nil, 6, strings.Repeat("a", 999)))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 0 overused, active 0"},
		"overuse that is cut off":     {string(text(from, 8, service(string(text(nil, 7, "12345"))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 0 overused, active 0"},
		"the highest amount possible": {string(text(from, 8, service(string(text(nil, 4, string(number(nil, 2, math.MaxUint64))))))), "1 services, 0 nodes; 0 workspaces, 0 urgencies, 0 overused, active 0, others 1000000000000"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := share.Decode([]byte(c.data))
			if c.want == "" {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			got := fmt.Sprintf("%d services, %d nodes", len(s.Services), s.Nodes)
			if len(s.Services) == 1 {
				only := s.Services[0]
				got += fmt.Sprintf("; %d workspaces, %d urgencies, %d overused, active %d", len(only.Workspaces), len(only.Urgencies), len(only.Overused), only.Active)
				if only.Others.Offered > 0 {
					got += fmt.Sprint(", others ", int(only.Others.Offered))
				}
			}
			must.EqOp(t, c.want, got)
		})
	}
}

// TestSummaryDoesNotFit has a node count more services, urgencies and workspaces, with longer names, than a datagram holds.
func TestSummaryDoesNotFit(t *testing.T) {
	state := share.New("self", 1, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	state.Handle(now, share.TreeUpdated{Parent: "parent", Children: []vaneyoke.VMID{"child"}})
	var demands []share.Demand
	for service := range 20 {
		for workspace := range 60 {
			demands = append(demands, share.Demand{
				Service: vaneyoke.ServiceID(strings.Repeat("s", 100) + fmt.Sprint(service)), Workspace: vaneyoke.WorkspaceID(strings.Repeat("w", 100) + fmt.Sprint(workspace)),
				Urgency: share.Urgency(workspace % 20), Flow: share.Flow{Offered: math.MaxInt, Admitted: 1e11, Waiting: 1e11, Rejected: 1e9},
			})
		}
	}
	demands = append(demands, share.Demand{Service: vaneyoke.ServiceID(strings.Repeat("x", 200))}, share.Demand{Service: "s", Urgency: -1}, share.Demand{Service: "s", Urgency: 1001})
	state.Handle(now, share.Counted{Demands: demands})
	sent := 0
	for _, effect := range state.Handle(state.NextTick(), share.Tick{}) {
		e, ok := effect.(share.SendSummary)
		if !ok {
			continue
		}
		sent++
		data := share.Encode(e.Summary)
		must.LessEq(t, share.MaxBytes, len(data))
		s, err := share.Decode(data)
		must.NoError(t, err)
		must.SliceNotEmpty(t, s.Services)
		must.SliceNotEmpty(t, s.Services[0].Urgencies)
	}
	must.EqOp(t, 2, sent)
}

// FuzzSummaries decodes arbitrary data and passes the result to a node as a summary of its child and of its parent: what the node sends must fit
// into a datagram and be readable.
func FuzzSummaries(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := share.Decode(data)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		state := share.New("self", 1, rand.New(rand.NewPCG(1, 1)))
		child := vaneyoke.VMID("child")
		if s.Down {
			state.Handle(now, share.TreeUpdated{Parent: s.From, Children: []vaneyoke.VMID{child}})
		} else {
			state.Handle(now, share.TreeUpdated{Parent: "parent", Children: []vaneyoke.VMID{s.From}})
		}
		check := func(effects []share.Effect) {
			for _, effect := range effects {
				switch e := effect.(type) {
				case share.SendSummary:
					encoded := share.Encode(e.Summary)
					must.LessEq(t, share.MaxBytes, len(encoded))
					_, err := share.Decode(encoded)
					must.NoError(t, err)
				case share.UpdateTotals:
					for service, totals := range e.Totals.Services {
						for _, flow := range totals.Urgencies {
							must.True(t, flow.Offered >= 0 && flow.Admitted >= 0 && flow.Waiting >= 0 && flow.Rejected >= 0)
						}
						for workspace := range totals.Workspaces {
							ratio := e.Totals.Overuse(service, workspace)
							must.True(t, ratio >= 1 && !math.IsInf(ratio, 0))
						}
					}
				}
			}
		}
		check(state.Handle(now, share.SummaryReceived{Summary: s}))
		check(state.Handle(now, share.Counted{Demands: []share.Demand{{Service: "chat", Workspace: "w", Flow: share.Flow{Offered: 1, Waiting: 1}}}}))
		for range 3 {
			at := state.NextTick()
			check(state.Handle(at, share.Tick{}))
		}
	})
}
