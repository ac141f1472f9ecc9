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
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// guarded places attempts in turn, and keeps what is told of requests that end upstreams; the third bars a content.
type guarded struct {
	inTurn
	lock     sync.Mutex
	crashed  []vaneyoke.UpstreamID
	outlived int
	survived int
	bar      func(vaneyoke.ContentID)
	barred   bool
}

func (g *guarded) Crashed(content vaneyoke.ContentID, u vaneyoke.Upstream, _ time.Time) {
	g.lock.Lock()
	g.crashed = append(g.crashed, u.ID)
	third := len(g.crashed) == 3
	g.barred = g.barred || third
	g.lock.Unlock()
	if third && g.bar != nil {
		g.bar(content)
	}
}

func (g *guarded) Outlived(vaneyoke.ContentID, vaneyoke.Upstream, time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.outlived++
}

func (g *guarded) Survived(vaneyoke.ContentID) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.survived++
}

func (g *guarded) Barred(vaneyoke.ContentID) (time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return time.Hour, g.barred
}

// dying answers as an upstream does that may end meanwhile.
type dying struct {
	sender
	dead    []vaneyoke.UpstreamID // that take no connections
	born    vaneyoke.Incarnation  // of each now
	failing map[vaneyoke.UpstreamID]error
	sent    atomic.Int64
}

func (d *dying) Send(ctx context.Context, a *forward.Attempt) (forward.Response, error) {
	d.sent.Add(1)
	if err := d.failing[a.Upstream.ID]; err != nil {
		time.Sleep(d.waits[a.Upstream.ID])
		return nil, err
	}
	return d.sender.Send(ctx, a)
}

func (d *dying) Probe(_ context.Context, u vaneyoke.Upstream) bool {
	return !slices.Contains(d.dead, u.ID)
}

func (d *dying) LoadReport(context.Context, vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	return vaneyoke.LoadReport{Incarnation: d.born}, true
}

func ask(t *testing.T, r *relay.Relay, stream bool) *relay.Session {
	now := time.Now()
	return r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Content: "c", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: stream, Deadline: now.Add(time.Minute), Goal: 10 * time.Second, Pause: 10 * time.Second, MaxAttempts: 9,
	})
}

// TestWhichLossesAreCrashes loses an attempt in each way that says something of the request or not.
func TestWhichLossesAreCrashes(t *testing.T) {
	closed := &engine.ClosedError{Err: io.EOF}
	cases := map[string]struct {
		stream  bool
		answer  *stubborn // of the first upstream; nil for none
		err     error     // in place of one
		dead    bool      // whether it takes no connections then
		born    vaneyoke.Incarnation
		crashes int
		goesOn  bool // whether it is found well
	}{
		"stream after its head":                 {stream: true, answer: &stubborn{breaks: true}, dead: true, crashes: 1},
		"stream after its first events":         {stream: true, answer: &stubborn{breaks: true, events: 3, delay: 30 * time.Millisecond}, dead: true, crashes: 1},
		"stream that had run for long":          {stream: true, answer: &stubborn{breaks: true, events: 30, delay: 50 * time.Millisecond}, dead: true},
		"stream that only broke off":            {stream: true, answer: &stubborn{breaks: true}, goesOn: true},
		"stream whose upstream is back":         {stream: true, answer: &stubborn{breaks: true}, born: 6, crashes: 1},
		"stream of the same life":               {stream: true, answer: &stubborn{breaks: true}, born: 5, goesOn: true},
		"stream that waited":                    {stream: true, err: closed, dead: true},
		"call":                                  {err: closed, dead: true, crashes: 1},
		"call that only broke off":              {err: closed, goesOn: true},
		"call that was declined":                {err: &engine.DeclinedError{Status: 503}, dead: true},
		"call that never came":                  {err: &engine.NotSentError{Reason: "refused"}, dead: true},
		"call that another upstream got":        {err: &engine.DeclinedError{Status: 421, Replaced: true}, dead: true},
		"stream that another upstream declined": {stream: true, err: &engine.DeclinedError{Status: 503}, dead: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &guarded{}
				g.incarnation = 5
				s := &dying{sender: sender{answers: map[vaneyoke.UpstreamID]forward.Response{"b": &stubborn{from: "b", events: 3}}, reached: true}, born: tc.born}
				s.failing = map[vaneyoke.UpstreamID]error{"a": tc.err}
				if tc.answer != nil {
					s.answers["a"] = tc.answer
				}
				if !tc.stream {
					s.answers["b"] = wholeAnswer{}
				}
				if tc.dead {
					s.dead = append(s.dead, "a")
				}
				r := newForwarderWith(s, g)
				result, err := ask(t, r, tc.stream).Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				synctest.Wait()
				must.Len(t, tc.crashes, g.crashed)
				must.EqOp(t, tc.goesOn, g.outlived == 1)
				must.EqOp(t, 1, g.survived)
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// wholeAnswer is the answer to a call.
type wholeAnswer struct{ forward.Response }

func (wholeAnswer) Head() forward.Head    { return forward.Head{Status: 200} }
func (wholeAnswer) IsEventStream() bool   { return false }
func (wholeAnswer) Body() ([]byte, error) { return []byte("whole"), nil }
func (wholeAnswer) Close() error          { return nil }

// TestThirdCrashIsTheLast has each upstream end as it begins to run a request: three do, the caller is told that it may have run, and a
// repeat that it has not, at once and with when to come back. What waits elsewhere is taken back, and what has begun there is not.
func TestThirdCrashIsTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &guarded{}
		s := &dying{sender: sender{answers: map[vaneyoke.UpstreamID]forward.Response{}, waits: map[vaneyoke.UpstreamID]time.Duration{}}}
		for id := 'c'; id <= 'z'; id++ {
			s.answers[vaneyoke.UpstreamID(id)] = &stubborn{breaks: true, delay: 50 * time.Millisecond}
			s.dead = append(s.dead, vaneyoke.UpstreamID(id))
		}
		s.answers["a"], s.waits["a"] = &stubborn{from: "a", events: 2}, 5*time.Second   // waits
		s.answers["b"] = &stubborn{from: "b", events: 2, delay: 500 * time.Millisecond} // has begun
		r := newForwarderWith(s, g)
		g.bar = r.Bar
		waiting := ask(t, r, true)
		synctest.Wait()
		begun := ask(t, r, true)
		synctest.Wait()
		result, err := ask(t, r, true).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeUpstream, result.Code)
		must.EqOp(t, 5, s.sent.Load())
		result, err = waiting.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeUpstream, result.Code)
		asked := time.Now()
		result, err = ask(t, r, true).Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeQuarantined, result.Code)
		must.EqOp(t, time.Hour, result.RetryAfter)
		must.EqOp(t, 0, time.Since(asked))
		must.EqOp(t, 5, s.sent.Load())
		must.True(t, vaneyoke.CodeQuarantined.Info().NotRun)
		result, err = begun.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		r.Close()
		time.Sleep(time.Minute) // until the answers of all upstreams have come
		synctest.Wait()
	})
}

// TestSuspendedVM has the VM be suspended while a caller waits: what its upstreams are told of its time, and when the node gives up, count
// the time that no clock of the node has counted.
func TestSuspendedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &dying{sender: sender{reached: true, waits: map[vaneyoke.UpstreamID]time.Duration{"a": time.Minute}, answers: map[vaneyoke.UpstreamID]forward.Response{"a": &stubborn{}}, work: vaneyoke.RunStateQueued}}
		r := newForwarderWith(s, &guarded{})
		began := time.Now()
		session := ask(t, r, true) // for a minute
		time.Sleep(time.Second)
		r.Suspended(50 * time.Second)
		must.True(t, session.Running())
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeTimedOut, result.Code)
		must.EqOp(t, 10*time.Second, time.Since(began))
		session = ask(t, r, true)
		r.Suspended(2 * time.Minute)
		must.False(t, session.Running())
		r.Close()
		time.Sleep(2 * time.Minute) // until the upstream's answer has come
		synctest.Wait()
	})
}
