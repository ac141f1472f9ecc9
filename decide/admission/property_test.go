package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/share"
)

const (
	modelMaxQueued = 12
	modelMaxBytes  = 12_000
)

// model checks the promises on every request while random events reach a state.
type model struct {
	t       *rapid.T
	state   *admission.State
	now     time.Time
	lastID  int
	waiting map[vaneyoke.RequestID]admission.Request
	order   []vaneyoke.RequestID // of arrival
	modes   map[vaneyoke.ServiceID]admission.Mode
	assess  map[vaneyoke.RequestID]time.Time // assessments under way, and since when
	capped  bool
}

func newModel(t *rapid.T) *model {
	return &model{
		t: t, now: worldStart, waiting: map[vaneyoke.RequestID]admission.Request{}, modes: map[vaneyoke.ServiceID]admission.Mode{},
		assess: map[vaneyoke.RequestID]time.Time{},
		state:  admission.New(admission.Config{MaxQueued: modelMaxQueued, MaxBytes: modelMaxBytes}, pacing.New(), rand.New(rand.NewPCG(1, 2))),
	}
}

func (m *model) handle(ev admission.Event) {
	for _, effect := range m.state.Handle(m.now, ev) {
		switch e := effect.(type) {
		case admission.Assess:
			m.checkAssess(e.ID)
		case admission.Admit:
			r := m.decide(e.ID)
			if e.Forced && m.modes[r.Service] == admission.ModeRanked {
				m.t.Fatalf("%s was sent by force", e.ID)
			}
		case admission.Reject:
			r := m.decide(e.ID)
			if m.modes[r.Service] == admission.ModePassive && e.Reason != admission.ReasonCapped {
				m.t.Fatalf("%s was rejected in a passive service: %v", e.ID, e.Reason)
			}
			if e.Reason == admission.ReasonCapped && !m.capped {
				m.t.Fatalf("%s was capped without a cap", e.ID)
			}
			if e.RetryAfter <= 0 {
				m.t.Fatalf("%s was not told when to come back", e.ID)
			}
		}
	}
	m.checkBounds()
}

// checkAssess checks that one assessment of a ranked service is under way at a time, unless the one before has timed out.
func (m *model) checkAssess(id vaneyoke.RequestID) {
	r, ok := m.waiting[id]
	if !ok {
		m.t.Fatalf("%s is assessed but does not wait", id)
	}
	for other, since := range m.assess {
		if m.waiting[other].Service == r.Service && m.modes[r.Service] == admission.ModeRanked && m.now.Sub(since) < 2*time.Second {
			m.t.Fatalf("%s and %s are assessed at the same time", other, id)
		}
	}
	m.assess[id] = m.now
}

func (m *model) decide(id vaneyoke.RequestID) admission.Request {
	r, ok := m.waiting[id]
	if !ok {
		m.t.Fatalf("%s was decided on twice, or after its caller had left", id)
	}
	m.forget(id)
	return r
}

func (m *model) forget(id vaneyoke.RequestID) {
	delete(m.waiting, id)
	delete(m.assess, id)
}

func (m *model) checkBounds() {
	requests, bytes := 0, 0
	for _, r := range m.waiting {
		if m.modes[r.Service] == admission.ModeRanked {
			requests++
			bytes += r.Bytes
		}
	}
	if requests > modelMaxQueued || bytes > modelMaxBytes {
		m.t.Fatalf("%d requests of %d bytes wait", requests, bytes)
	}
	if len(m.waiting) > 0 && m.state.NextTick().IsZero() {
		m.t.Fatal("requests wait and no tick is due")
	}
}

func (m *model) arrive() {
	m.lastID++
	draw := func(name string, most int) int { return rapid.IntRange(0, most).Draw(m.t, name) }
	r := admission.Request{
		ID: vaneyoke.RequestID(fmt.Sprint(m.lastID)), Service: vaneyoke.ServiceID(fmt.Sprint("s", draw("service", 1))),
		Route: vaneyoke.RouteID(fmt.Sprint("r", draw("route", 1))), Workspace: vaneyoke.WorkspaceID(fmt.Sprint("w", draw("workspace", 2))),
		Urgency: share.Urgency(draw("urgency", 2)), Prompt: vaneyoke.Tokens(draw("prompt", 9000)), Bytes: draw("bytes", 4000),
		Goal: m.now.Add(m.drawTime("goal", -1000, 5000)), Deadline: m.now.Add(m.drawTime("deadline", -1000, 30_000)),
		Return: pacing.Return(draw("return", 2)),
	}
	m.waiting[r.ID] = r
	m.order = append(m.order, r.ID)
	m.handle(admission.Arrived{Request: r})
}

func (m *model) drawTime(name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(m.t, name)) * time.Millisecond
}

// drawWaiting returns a random request that waits; "" if none does.
func (m *model) drawWaiting() vaneyoke.RequestID {
	var ids []vaneyoke.RequestID
	for _, id := range m.order {
		if _, ok := m.waiting[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(m.t, "id")
}

func (m *model) leave() {
	if id := m.drawWaiting(); id != "" {
		m.forget(id)
		m.handle(admission.Left{ID: id})
	}
}

// answer gives the result of an assessment, which may be of a request that is not assessed any more.
func (m *model) answer() {
	id := m.drawWaiting()
	if id == "" {
		return
	}
	delete(m.assess, id)
	room := admission.Room{
		Free: rapid.Bool().Draw(m.t, "free"), Idle: rapid.Bool().Draw(m.t, "idle"),
		Start: m.drawTime("start", 0, 5000), Run: m.drawTime("run", 0, 20_000),
	}
	if m.modes[m.waiting[id].Service] == admission.ModeRanked && !room.Free {
		room.Idle = false
	}
	m.handle(admission.Assessed{ID: id, Room: room})
}

func (m *model) setMode() {
	service := vaneyoke.ServiceID(fmt.Sprint("s", rapid.IntRange(0, 1).Draw(m.t, "service")))
	mode := admission.Mode(rapid.IntRange(0, 1).Draw(m.t, "mode"))
	if m.modes[service] != mode {
		for id := range m.assess {
			if m.waiting[id].Service == service {
				delete(m.assess, id)
			}
		}
	}
	m.modes[service] = mode
	m.handle(admission.ModeSet{Service: service, Mode: mode})
}

func (m *model) setCaps() {
	var caps []admission.Cap
	if rapid.Bool().Draw(m.t, "capped") {
		caps = []admission.Cap{{Workspace: "w0", Share: float64(rapid.IntRange(0, 4).Draw(m.t, "share")) / 4}}
	}
	m.capped = len(caps) > 0
	m.handle(admission.CapsUpdated{Caps: caps})
}

func (m *model) hearShares() {
	flow := func() share.Flow {
		n := vaneyoke.Tokens(rapid.IntRange(0, 1000).Draw(m.t, "flow"))
		return share.Flow{Offered: n, Admitted: n, Waiting: n / 2}
	}
	m.handle(admission.SharesUpdated{Totals: share.Totals{
		MeasuredAt: m.now.Add(-m.drawTime("age", 0, 5000)), Nodes: 2, Services: map[vaneyoke.ServiceID]share.ServiceTotals{"s0": {
			Active: 2, Workspaces: map[vaneyoke.WorkspaceID]share.Flow{"w0": flow(), "w1": flow()}, Urgencies: map[share.Urgency]share.Flow{0: flow(), 1: flow()},
		}},
	}})
}

// pass lets time pass; the node ticks in time, or late as after it was frozen.
func (m *model) pass() {
	until := m.now.Add(m.drawTime("time", 0, 3000))
	if rapid.IntRange(0, 9).Draw(m.t, "frozen") == 0 {
		until = until.Add(20 * time.Second)
	} else {
		for at := m.state.NextTick(); !at.IsZero() && at.Before(until); at = m.state.NextTick() {
			m.now = maxTime(m.now, at)
			m.handle(admission.Tick{})
		}
	}
	m.now = until
	m.handle(admission.Tick{})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finish answers every assessment without room: each request must be decided on by the deadline of its caller, without any further event.
func (m *model) finish() {
	until := m.now.Add(40 * time.Second)
	for len(m.waiting) > 0 && m.now.Before(until) {
		for _, id := range m.order {
			if _, ok := m.assess[id]; ok {
				delete(m.assess, id)
				m.handle(admission.Assessed{ID: id})
			}
		}
		if at := m.state.NextTick(); !at.IsZero() {
			m.now = maxTime(m.now, at)
			m.handle(admission.Tick{})
		}
	}
	for id, r := range m.waiting {
		m.t.Fatalf("%s waits %v after its deadline (%v)", id, m.now.Sub(r.Deadline), m.modes[r.Service])
	}
}

// TestEveryRequestIsDecidedOnce plays random events, clock jumps and answers that are out of date.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){m.arrive, m.arrive, m.arrive, m.leave, m.answer, m.answer, m.pass, m.hearShares, m.setMode, m.setCaps, m.runEnded}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		}
		m.finish()
	})
}

func (m *model) runEnded() { m.handle(admission.RunEnded{Service: "s0", Prompt: 100}) }
