package relay_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// crashRecorder places attempts in sequence and counts crashes, losses and completions; the third crash blocks the
// content.
type crashRecorder struct {
	sequentialPlacer
	lock               sync.Mutex
	crashes            []vaneyoke.UpstreamID
	lossesWithoutCrash int
	completions        int
	onBlock            func(vaneyoke.ContentID)
	blocked            bool
}

func (g *crashRecorder) RecordCrash(content vaneyoke.ContentID, u vaneyoke.Upstream, _ time.Time) {
	g.lock.Lock()
	g.crashes = append(g.crashes, u.ID)
	third := len(g.crashes) == 3
	g.blocked = g.blocked || third
	g.lock.Unlock()
	if third && g.onBlock != nil {
		g.onBlock(content)
	}
}

func (g *crashRecorder) RecordLossWithoutCrash(vaneyoke.ContentID, vaneyoke.Upstream, time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.lossesWithoutCrash++
}

func (g *crashRecorder) RecordCompletion(vaneyoke.ContentID) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.completions++
}

func (g *crashRecorder) Blocked(vaneyoke.ContentID) (time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return time.Hour, g.blocked
}

// crashingSender sends to upstreams that may crash.
type crashingSender struct {
	fakeSender
	unreachable []vaneyoke.UpstreamID // upstreams that accept no connections
	incarnation vaneyoke.Incarnation  // of each upstream now
	errs        map[vaneyoke.UpstreamID]error
	unanswered  atomic.Int64 // questions that get no answer
	sent        atomic.Int64
}

func (d *crashingSender) Send(ctx context.Context, a *forward.Attempt) (forward.Response, error) {
	d.sent.Add(1)
	if err := d.errs[a.Upstream.ID]; err != nil {
		time.Sleep(d.waits[a.Upstream.ID])
		return nil, err
	}
	return d.fakeSender.Send(ctx, a)
}

func (d *crashingSender) Probe(_ context.Context, u vaneyoke.Upstream, _ forward.Path) bool {
	return !slices.Contains(d.unreachable, u.ID)
}

func (d *crashingSender) LoadReport(ctx context.Context, _ vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	if d.unanswered.Add(-1) >= 0 {
		<-ctx.Done()
		return vaneyoke.LoadReport{}, false
	}
	return vaneyoke.LoadReport{Incarnation: d.incarnation}, true
}

func forwardRequest(t *testing.T, r *relay.Relay, stream bool) *relay.Session {
	now := time.Now()
	return r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Content: "c", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: stream, Deadline: now.Add(time.Minute), LatencyGoal: 10 * time.Second, EventIntervalGoal: 10 * time.Second, MaxAttempts: 9,
	})
}

// TestLossesAreClassifiedAsCrashes loses an attempt in each way that does or does not count as a crash caused by the
// request.
func TestLossesAreClassifiedAsCrashes(t *testing.T) {
	closed := &engine.ClosedError{Err: io.EOF}
	cases := map[string]struct {
		stream      bool
		answer      *lateExchange // of the first upstream; nil for none
		err         error         // returned instead of an answer
		unreachable bool          // whether the upstream accepts no connections afterwards
		incarnation vaneyoke.Incarnation
		crashes     int
		foundUp     bool // whether the upstream is found to be up
	}{
		"stream after its head":            {stream: true, answer: &lateExchange{breaks: true}, unreachable: true, crashes: 1},
		"stream after its first events":    {stream: true, answer: &lateExchange{breaks: true, events: 3, delay: 30 * time.Millisecond}, unreachable: true, crashes: 1},
		"stream that had run for a while":  {stream: true, answer: &lateExchange{breaks: true, events: 30, delay: 50 * time.Millisecond}, unreachable: true},
		"stream broken by a live upstream": {stream: true, answer: &lateExchange{breaks: true}, foundUp: true},
		"stream whose upstream restarted":  {stream: true, answer: &lateExchange{breaks: true}, incarnation: 6, crashes: 1},
		"stream of the same incarnation":   {stream: true, answer: &lateExchange{breaks: true}, incarnation: 5, foundUp: true},
		"stream still in the queue":        {stream: true, err: closed, unreachable: true},
		"call":                             {err: closed, unreachable: true, crashes: 1},
		"call broken by a live upstream":   {err: closed, foundUp: true},
		"call that was declined":           {err: &engine.DeclinedError{Status: 503}, unreachable: true},
		"call that was not sent":           {err: &engine.NotSentError{Reason: "refused"}, unreachable: true},
		"call to a replaced upstream":      {err: &engine.DeclinedError{Status: 421, Replaced: true}, unreachable: true},
		"stream that was declined":         {stream: true, err: &engine.DeclinedError{Status: 503}, unreachable: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &crashRecorder{}
				g.incarnation = 5
				s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"b": &lateExchange{from: "b", events: 3}}, reachable: true}, incarnation: tc.incarnation}
				s.errs = map[vaneyoke.UpstreamID]error{"a": tc.err}
				if tc.answer != nil {
					s.answers["a"] = tc.answer
				}
				if !tc.stream {
					s.answers["b"] = unaryExchange{}
				}
				if tc.unreachable {
					s.unreachable = append(s.unreachable, "a")
				}
				r := newForwarderWith(s, g)
				result, err := forwardRequest(t, r, tc.stream).Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				synctest.Wait()
				must.Len(t, tc.crashes, g.crashes)
				must.EqOp(t, tc.foundUp, g.lossesWithoutCrash == 1)
				must.EqOp(t, 1, g.completions)
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// unaryExchange is the answer to a call.
type unaryExchange struct{ forward.Response }

func (unaryExchange) Head() forward.Head    { return forward.Head{Status: 200} }
func (unaryExchange) IsEventStream() bool   { return false }
func (unaryExchange) Body() ([]byte, error) { return []byte("whole"), nil }
func (unaryExchange) Close() error          { return nil }

// TestRequestIsQuarantinedAfterThreeCrashes has each upstream crash when it starts to run a request. After three crashes
// the caller is told that the request may have run; a repeated request is refused at once as not run, with a retry-after
// time. A run that still waits on another upstream is ended, and one whose answer has begun is not.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &crashRecorder{}
		s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{}, waits: map[vaneyoke.UpstreamID]time.Duration{}}}
		for id := 'c'; id <= 'z'; id++ {
			s.answers[vaneyoke.UpstreamID(id)] = &lateExchange{breaks: true, delay: 50 * time.Millisecond}
			s.unreachable = append(s.unreachable, vaneyoke.UpstreamID(id))
		}
		s.answers["a"], s.waits["a"] = &lateExchange{from: "a", events: 2}, 5*time.Second   // waits
		s.answers["b"] = &lateExchange{from: "b", events: 2, delay: 500 * time.Millisecond} // has begun
		r := newForwarderWith(s, g)
		g.onBlock = r.Quarantine
		waiting := forwardRequest(t, r, true)
		synctest.Wait()
		begun := forwardRequest(t, r, true)
		synctest.Wait()
		result, err := forwardRequest(t, r, true).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeUpstream, result.Code)
		must.EqOp(t, 5, s.sent.Load())
		result, err = waiting.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeUpstream, result.Code)
		repeatedAt := time.Now()
		result, err = forwardRequest(t, r, true).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeQuarantined, result.Code)
		must.EqOp(t, time.Hour, result.RetryAfter)
		must.EqOp(t, 0, time.Since(repeatedAt))
		must.EqOp(t, 5, s.sent.Load())
		must.True(t, vaneyoke.CodeQuarantined.Info().NotRun)
		result, err = begun.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		r.Close()
		time.Sleep(time.Minute) // until the answers of all upstreams have arrived
		synctest.Wait()
	})
}

// TestSuspensionShortensTheDeadline suspends the VM while a caller waits: the time that no clock of the node has counted
// shortens the time that upstreams are given and the time until the node gives up.
func TestSuspensionShortensTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &crashingSender{fakeSender: fakeSender{reachable: true, waits: map[vaneyoke.UpstreamID]time.Duration{"a": time.Minute}, answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{}}, runState: vaneyoke.RunStateQueued}}
		r := newForwarderWith(s, &crashRecorder{})
		startedAt := time.Now()
		session := forwardRequest(t, r, true) // with a deadline of one minute
		time.Sleep(time.Second)
		r.Suspended(50 * time.Second)
		must.True(t, session.Running())
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeTimedOut, result.Code)
		must.EqOp(t, 10*time.Second, time.Since(startedAt))
		session = forwardRequest(t, r, true)
		r.Suspended(2 * time.Minute)
		must.False(t, session.Running())
		r.Close()
		time.Sleep(2 * time.Minute) // until the upstream's answer has arrived
		synctest.Wait()
	})
}

// exhaustedGuard is a crash recorder without retries.
type exhaustedGuard struct{ crashRecorder }

func (g *exhaustedGuard) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	if retry {
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeRetryExhausted, "spent")
	}
	return g.crashRecorder.Place(need, retry)
}

// Guards against an upstream that pauses and is checked for a crash each time that the replacement of its run is asked for.
func TestPausedUpstreamIsCheckedForACrashAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &pausingExchange{lateExchange: lateExchange{from: "a"}, pauses: []time.Duration{50 * time.Millisecond, 8 * time.Second}},
		}}
		g := &exhaustedGuard{}
		r := newForwarderWith(s, g)
		defer time.Sleep(2 * time.Minute) // until the upstream has ended
		defer r.Close()
		began := time.Now()
		r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Content: "c", Repeatable: true, ReceivedAt: began}, relay.Forwarding{
			Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: began.Add(time.Minute),
			LatencyGoal: 3 * time.Second, EventIntervalGoal: 700 * time.Millisecond, MaxAttempts: 3,
		})
		time.Sleep(7 * time.Second)
		g.lock.Lock()
		defer g.lock.Unlock()
		must.EqOp(t, 1, g.lossesWithoutCrash)
	})
}

// TestUnansweredQuestionHidesACrash has an upstream restart as it begins to run a request, and then not tell its incarnation at once: the loss must be found to be
// a crash, and the next attempt must not wait for that.
func TestUnansweredQuestionHidesACrash(t *testing.T) {
	cases := map[string]struct {
		unanswered  int64
		incarnation vaneyoke.Incarnation
		interval    time.Duration // between the next upstream's events, which show that the request is safe once it has run for 1 s
		crashes     int
	}{
		"restarted, told at once":          {0, 6, 3 * time.Second, 1},
		"restarted, one lost question":     {1, 6, 3 * time.Second, 1},
		"restarted, three lost questions":  {3, 6, 3 * time.Second, 1},
		"lives, three lost questions":      {3, 5, 3 * time.Second, 0},
		"never tells":                      {1 << 20, 6, 3 * time.Second, 0},
		"restarted, but proven safe first": {3, 6, 150 * time.Millisecond, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &crashRecorder{}
				g.incarnation = 5
				next := &lateExchange{from: "b", events: 9, delay: tc.interval}
				s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{breaks: true}, "b": next}, reachable: true}, incarnation: tc.incarnation}
				s.unanswered.Store(tc.unanswered)
				r := newForwarderWith(s, g)
				began := time.Now()
				session := forwardRequest(t, r, true)
				synctest.Wait()
				for s.sent.Load() < 2 {
					time.Sleep(time.Millisecond)
				}
				must.Less(t, 70*time.Millisecond, time.Since(began))
				_, err := session.Wait(t.Context())
				must.NoError(t, err)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				g.lock.Lock()
				defer g.lock.Unlock()
				must.Len(t, tc.crashes, g.crashes)
				must.EqOp(t, 1-tc.crashes, g.lossesWithoutCrash)
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// lateRecorder knows only after a time what other nodes have blocked.
type lateRecorder struct {
	crashRecorder
	knownAfter time.Duration
}

func (g *lateRecorder) AwaitCrashes(ctx context.Context) {
	select {
	case <-time.After(g.knownAfter):
		g.lock.Lock()
		defer g.lock.Unlock()
		g.blocked = true
	case <-ctx.Done():
	}
}

// TestBlockedRequestIsSentAtTheStart checks that a node which does not know yet what other nodes have blocked waits for that before it sends a request, for a third
// of the request's time.
func TestBlockedRequestIsSentAtTheStart(t *testing.T) {
	for knownAfter, sent := range map[time.Duration]int64{0: 0, time.Second: 0, 19 * time.Second: 0, 21 * time.Second: 1} {
		t.Run(knownAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 3}}, reachable: true}}
				r := newForwarderWith(s, &lateRecorder{knownAfter: knownAfter})
				_, err := forwardRequest(t, r, true).Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, sent, s.sent.Load())
				r.Close()
				synctest.Wait()
			})
		})
	}
}
