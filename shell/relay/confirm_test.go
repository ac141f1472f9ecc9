package relay_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// unconfirmedProcesses are upstreams whose incarnation is not known for certain.
type unconfirmedProcesses struct{ reported vaneyoke.Incarnation }

func (p *unconfirmedProcesses) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{ID: id, URL: "http://" + string(id), Incarnation: p.reported}, true
}
func (*unconfirmedProcesses) IsConfirmed(vaneyoke.UpstreamID) bool                      { return false }
func (*unconfirmedProcesses) RecordRestarted(placement.Need, bool, vaneyoke.UpstreamID) {}
func (*unconfirmedProcesses) Reported(vaneyoke.UpstreamID, vaneyoke.LoadReport)         {}

// unconfirmedPlacer places attempts on upstreams that may push back.
type unconfirmedPlacer struct {
	pushbackPlacer
	unconfirmedProcesses
}

// reportCounter counts the load reports that upstreams are asked for.
type reportCounter struct {
	fakeSender
	reports atomic.Int32
}

func (s *reportCounter) LoadReport(context.Context, vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	s.reports.Add(1)
	return vaneyoke.LoadReport{Incarnation: 5}, true
}

// Guards against upstreams that have pushed back and are asked for their incarnation all the same, when they give the first event of a stream.
func TestPushedBackUpstreamsAreAskedForTheirIncarnation(t *testing.T) {
	for name, tc := range map[string]struct {
		after   time.Duration
		reports int32
	}{
		"pushes back before the first event": {time.Millisecond, 0},
		"does not push back":                 {time.Hour, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &reportCounter{fakeSender: fakeSender{
					answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 2, delay: 10 * time.Millisecond}}, reachable: true,
				}}
				placer := &unconfirmedPlacer{pushbackPlacer{from: time.Now().Add(tc.after)}, unconfirmedProcesses{reported: 5}}
				placer.incarnation = 5
				r := newForwarderWith(s, placer)
				_, err := forwardPrompt(t.Context(), r).Wait(t.Context())
				must.NoError(t, err)
				synctest.Wait()
				must.EqOp(t, tc.reports, s.reports.Load())
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// unconfirmedRecorder places attempts on such upstreams and counts crashes.
type unconfirmedRecorder struct {
	crashRecorder
	unconfirmedProcesses
}

// Guards against requests that are taken to have ended an upstream which had restarted before they were sent to it.
func TestEarlierRestartCountsAsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &unconfirmedRecorder{unconfirmedProcesses: unconfirmedProcesses{reported: 6}}
		g.incarnation = 5
		s := &crashingSender{incarnation: 6}
		s.answers = map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 3, delay: 30 * time.Millisecond, breaks: true}, "b": &lateExchange{from: "b", events: 3},
		}
		r := newForwarderWith(s, g)
		_, err := forwardRequest(t, r, true).Wait(t.Context())
		must.NoError(t, err)
		synctest.Wait()
		must.SliceEmpty(t, g.crashes)
		must.EqOp(t, 1, g.lossesWithoutCrash)
		r.Close()
		synctest.Wait()
	})
}

// restartingUpstreams are listed with incarnation 5; each load report that they are asked for tells the next of their incarnations, and the last one from then on.
type restartingUpstreams struct {
	fakeSender
	sequentialPlacer

	mu           sync.Mutex
	incarnations map[vaneyoke.UpstreamID][]vaneyoke.Incarnation // 0 for a report that does not come
	known        map[vaneyoke.UpstreamID]vaneyoke.Incarnation
	down         map[vaneyoke.UpstreamID]bool // accept no connections any more
	reports      int                          // that they were asked for
}

func (u *restartingUpstreams) Probe(_ context.Context, upstream vaneyoke.Upstream, _ forward.Path) bool {
	return !u.down[upstream.ID]
}

func (u *restartingUpstreams) LoadReport(_ context.Context, upstream vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports++
	left := u.incarnations[upstream.ID]
	if len(left) > 1 {
		u.incarnations[upstream.ID] = left[1:]
	}
	return vaneyoke.LoadReport{Incarnation: left[0]}, left[0] != 0
}

func (u *restartingUpstreams) Reported(id vaneyoke.UpstreamID, report vaneyoke.LoadReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.known == nil {
		u.known = map[vaneyoke.UpstreamID]vaneyoke.Incarnation{}
	}
	u.known[id] = report.Incarnation
}

func (u *restartingUpstreams) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	upstream, ttft, err := u.sequentialPlacer.Place(need, retry)
	upstream.Incarnation = 5
	return upstream, ttft, err
}

func (u *restartingUpstreams) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	incarnation := max(5, u.known[id])
	return vaneyoke.Upstream{ID: id, URL: "http://" + string(id), Incarnation: incarnation, VersionUnknown: incarnation > 5}, true
}
func (*restartingUpstreams) IsConfirmed(vaneyoke.UpstreamID) bool                      { return false }
func (*restartingUpstreams) RecordRestarted(placement.Need, bool, vaneyoke.UpstreamID) {}

// mustAnswer waits until a session has ended as it must, and closes its relay.
func mustAnswer(t *testing.T, r *relay.Relay, s *relay.Session, code vaneyoke.Code, text string) {
	t.Helper()
	result, err := s.Wait(t.Context())
	must.NoError(t, err)
	must.EqOp(t, text, string(s.Text()))
	must.EqOp(t, code, result.Code)
	r.Close()
	synctest.Wait()
}

// Guards against streams that go on at an upstream which restarts, perhaps with another software version, between its choice and the attempt.
func TestStreamGoesOnAtAnUpstreamThatRestartsAsItIsChosen(t *testing.T) {
	for name, tc := range map[string]struct {
		second []vaneyoke.Incarnation // of the second upstream, in its reports
		want   string
	}{
		"restarts after it was asked":              {[]vaneyoke.Incarnation{0, 6}, "aacc"},
		"restarts, and tells so late":              {[]vaneyoke.Incarnation{0, 0, 0, 6}, "aacc"},
		"does not restart, and tells so late":      {[]vaneyoke.Incarnation{0, 0, 0, 5}, "aabb"},
		"does not restart":                         {[]vaneyoke.Incarnation{5}, "aabb"},
		"tells nothing while its events are there": {[]vaneyoke.Incarnation{0}, "aacc"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &restartingUpstreams{}
				u.incarnations = map[vaneyoke.UpstreamID][]vaneyoke.Incarnation{"a": {5}, "b": tc.second, "c": {5}}
				u.answers = map[vaneyoke.UpstreamID]forward.Response{
					"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{from: "b", events: 2}, "c": &lateExchange{from: "c", events: 2},
				}
				r := newForwarderWith(u, u)
				s := forwardStream(t, r)
				mustAnswer(t, r, s, vaneyoke.CodeOK, tc.want)
			})
		})
	}
}

// Guards against an answer that is waited for until its deadline because the upstream that goes on with it is gone before it has told which process it is.
func TestUpstreamThatGoesOnIsLostBeforeItIsConfirmed(t *testing.T) {
	for name, events := range map[string]int{"before its first event": 0, "after its first event": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &restartingUpstreams{}
				u.incarnations = map[vaneyoke.UpstreamID][]vaneyoke.Incarnation{"a": {5}, "b": {0}}
				u.answers = map[vaneyoke.UpstreamID]forward.Response{
					"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{from: "b", events: events, breaks: true},
				}
				u.down = map[vaneyoke.UpstreamID]bool{"b": true}
				r := newForwarderWith(u, u)
				began := time.Now()
				now := time.Now()
				s := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute),
					LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 2,
				})
				mustAnswer(t, r, s, vaneyoke.CodeInterrupted, "aa")
				must.Less(t, 5*time.Second, time.Since(began))
			})
		})
	}
}

// limitedUpstreams are such upstreams that must not be asked, since they name a limit.
type limitedUpstreams struct{ restartingUpstreams }

func (*limitedUpstreams) Limited(vaneyoke.UpstreamID) bool { return true }
func (*limitedUpstreams) AcquirePermit(context.Context, vaneyoke.UpstreamID) relay.Permit {
	return relay.Permit{Granted: true}
}
func (*limitedUpstreams) LimitReached(placement.Need, bool, vaneyoke.UpstreamID, relay.Permit) {}

// Send has the list name a later incarnation of the second upstream as it answers.
func (u *limitedUpstreams) Send(ctx context.Context, a *forward.Attempt) (forward.Response, error) {
	if a.Upstream.ID == "b" {
		u.Reported("b", vaneyoke.LoadReport{Incarnation: 6})
	}
	return u.fakeSender.Send(ctx, a)
}

// Guards against streams that go on at an upstream which is known to have restarted by the time that it answers, where it must not be asked.
func TestStreamGoesOnAtAnUpstreamThatIsKnownToHaveRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &limitedUpstreams{restartingUpstreams{}}
		u.answers = map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{from: "b", events: 2}, "c": &lateExchange{from: "c", events: 2},
		}
		r := newForwarderWith(u, u)
		s := forwardStream(t, r)
		mustAnswer(t, r, s, vaneyoke.CodeOK, "aacc")
		must.Zero(t, u.reports)
	})
}

// Guards against upstreams in trouble that each waiting stream asks many times a second for their incarnation.
func TestUpstreamThatTellsNothingIsAskedOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &restartingUpstreams{}
		u.incarnations = map[vaneyoke.UpstreamID][]vaneyoke.Incarnation{"a": {5}, "b": {0}}
		u.runState = vaneyoke.RunStateRunning
		u.answers = map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 2, breaks: true}, "b": &lateExchange{from: "b", events: 2},
		}
		r := newForwarderWith(u, u)
		s := forwardStream(t, r)
		time.Sleep(10 * time.Second)
		must.True(t, s.Running())
		u.mu.Lock()
		must.LessEq(t, 25, u.reports)
		u.mu.Unlock()
		s.Abandon()
		r.Close()
		synctest.Wait()
	})
}

// pinnedUpstreams are such upstreams of which only the process that began an answer may go on with it once its version is not known.
type pinnedUpstreams struct{ restartingUpstreams }

func (u *pinnedUpstreams) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if need.Pin.VersionUnknown {
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeVersionGone, "none")
	}
	return u.restartingUpstreams.Place(need, retry)
}

// Guards against streams that are taken for begun by the listed process of an upstream because a single report did not come.
func TestReportAfterTheFirstEventDoesNotCome(t *testing.T) {
	for name, tc := range map[string]struct {
		first  []vaneyoke.Incarnation // of the first upstream, in its reports
		events int                    // of the first upstream
		code   vaneyoke.Code
		want   string
	}{
		"had restarted, and tells so at once":        {[]vaneyoke.Incarnation{6}, 3, vaneyoke.CodeInterrupted, "aaa"},
		"had restarted, and tells so later":          {[]vaneyoke.Incarnation{0, 0, 6}, 3, vaneyoke.CodeInterrupted, "aaa"},
		"had not restarted, and tells so late":       {[]vaneyoke.Incarnation{0, 0, 5}, 3, vaneyoke.CodeOK, "aaabb"},
		"may have restarted since its only event":    {[]vaneyoke.Incarnation{0, 0, 6}, 1, vaneyoke.CodeInterrupted, "a"},
		"never tells, and is asked no more later on": {[]vaneyoke.Incarnation{0}, 3, vaneyoke.CodeOK, "aaabb"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &pinnedUpstreams{restartingUpstreams{}}
				u.incarnations = map[vaneyoke.UpstreamID][]vaneyoke.Incarnation{"a": tc.first, "b": {5}}
				u.answers = map[vaneyoke.UpstreamID]forward.Response{
					"a": &lateExchange{from: "a", events: tc.events, delay: 300 * time.Millisecond, breaks: true}, "b": &lateExchange{from: "b", events: 2},
				}
				r := newForwarderWith(u, u)
				s := forwardStream(t, r)
				mustAnswer(t, r, s, tc.code, tc.want)
				must.LessEq(t, 6, u.reports)
			})
		})
	}
}

// lateReports are such upstreams whose first one takes a while to tell its incarnation.
type lateReports struct{ pinnedUpstreams }

func (u *lateReports) LoadReport(ctx context.Context, upstream vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	if upstream.ID == "a" {
		time.Sleep(200 * time.Millisecond)
	}
	return u.pinnedUpstreams.LoadReport(ctx, upstream)
}

// Guards against streams that go on at the listed version of the upstream that began them while it is being asked whether it had restarted.
func TestStreamGoesOnBeforeItIsKnownWhatBeganIt(t *testing.T) {
	for name, tc := range map[string]struct {
		first vaneyoke.Incarnation // of the first upstream, in its reports; 0 for none
		code  vaneyoke.Code
		want  string
	}{
		"had restarted":     {6, vaneyoke.CodeInterrupted, "a"},
		"had not restarted": {5, vaneyoke.CodeOK, "abb"},
		"does not tell":     {0, vaneyoke.CodeOK, "abb"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &lateReports{pinnedUpstreams{restartingUpstreams{}}}
				u.incarnations = map[vaneyoke.UpstreamID][]vaneyoke.Incarnation{"a": {tc.first}, "b": {5}}
				u.answers = map[vaneyoke.UpstreamID]forward.Response{
					"a": &lateExchange{from: "a", events: 1, breaks: true}, "b": &lateExchange{from: "b", events: 2},
				}
				r := newForwarderWith(u, u)
				s := forwardStream(t, r)
				mustAnswer(t, r, s, tc.code, tc.want)
			})
		})
	}
}
