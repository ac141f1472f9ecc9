package relay_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
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

// dialingSender connects for a second, whatever becomes of the attempt, and then takes a second for the answer.
type dialingSender struct {
	fakeSender
	sent atomic.Int32
}

func (s *dialingSender) SendGated(ctx context.Context, a *forward.Attempt, gate func(forward.Path) bool) (forward.Response, error) {
	time.Sleep(time.Second)
	if !gate(forward.DirectPath) {
		return nil, &engine.ClosedError{Err: context.Canceled}
	}
	s.sent.Add(1)
	time.Sleep(time.Second)
	return s.Send(ctx, a)
}

// TestRequestThatWasNotSentIsReportedAsRun stops the node, or lets the caller leave, while an attempt connects and after it was sent. What was not
// sent by then is not sent later either.
func TestRequestThatWasNotSentIsReportedAsRun(t *testing.T) {
	stop := func(r *relay.Relay, _ *relay.Session) { r.Interrupt() }
	leave := func(_ *relay.Relay, s *relay.Session) { s.Abandon() }
	cases := map[string]struct {
		end   func(*relay.Relay, *relay.Session)
		after time.Duration
		code  vaneyoke.Code
		sent  int32
	}{
		"node stops while it connects":    {stop, 500 * time.Millisecond, vaneyoke.CodeStopping, 0},
		"node stops after it was sent":    {stop, 1500 * time.Millisecond, vaneyoke.CodeMayHaveRun, 1},
		"caller leaves while it connects": {leave, 500 * time.Millisecond, vaneyoke.CodeCallerGone, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &dialingSender{fakeSender: fakeSender{reachable: true, answers: map[vaneyoke.UpstreamID]forward.Response{"a": &lateExchange{from: "a", events: 1}}}}
				r := newForwarder(sender)
				now := time.Now()
				session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", ReceivedAt: now}, relay.Forwarding{
					Message: &forward.Message{}, Service: "shop", Stream: true, Deadline: now.Add(time.Minute), LatencyGoal: 10 * time.Second, MaxAttempts: 1,
				})
				time.Sleep(tc.after)
				tc.end(r, session)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, tc.code, result.Code)
				time.Sleep(time.Minute)
				must.EqOp(t, tc.sent, sender.sent.Load())
				r.Close()
				synctest.Wait()
			})
		})
	}
}

// randomFleet places attempts on upstreams that connect, answer, pause and fail at random, and counts what sessions take and give back.
type randomFleet struct {
	fakeSender
	sequentialPlacer
	lock    sync.Mutex
	rng     *rand.Rand
	used    map[vaneyoke.UpstreamID]int // placements less ends
	working map[vaneyoke.UpstreamID]time.Time
	repeats int           // repeated attempts that were sent
	sent    int           // attempts that were sent
	beside  time.Duration // longest time for which two sent attempts ran
}

func (f *randomFleet) draw(n int) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.rng.IntN(n)
}

// pause waits for one of some times, or until the attempt is cancelled.
func (f *randomFleet) pause(ctx context.Context, times ...time.Duration) error {
	timer := time.NewTimer(times[f.draw(len(times))])
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *randomFleet) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	time.Sleep(time.Duration(f.draw(3)) * 150 * time.Millisecond)
	codes := []vaneyoke.Code{vaneyoke.CodeRetryExhausted, vaneyoke.CodePushedBack, vaneyoke.CodeNoUpstream, vaneyoke.CodeVersionGone}
	if n := f.draw(12); retry && n < len(codes) {
		return vaneyoke.Upstream{}, 0, vaneyoke.ErrRetryAfter(codes[n], time.Duration(f.draw(3000))*time.Millisecond, "refused")
	}
	upstream, ttft, err := f.sequentialPlacer.Place(need, retry)
	f.lock.Lock()
	defer f.lock.Unlock()
	upstream.ID = vaneyoke.UpstreamID(strconv.Itoa(f.next))
	f.used[upstream.ID]++
	return upstream, ttft, err
}

func (f *randomFleet) Ended(id vaneyoke.UpstreamID, _ placement.Outcome, _ bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.used[id]--
}

func (f *randomFleet) Probe(context.Context, vaneyoke.Upstream, forward.Path) bool {
	return f.draw(3) > 0
}

func (f *randomFleet) RunState(ctx context.Context, _ vaneyoke.Upstream, _ forward.Path, _ vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens) {
	_ = f.pause(ctx, 0, 50*time.Millisecond, 300*time.Millisecond)
	return vaneyoke.RunState(f.draw(4)), 0
}

func (f *randomFleet) SendGated(ctx context.Context, a *forward.Attempt, gate func(forward.Path) bool) (forward.Response, error) {
	if err := f.pause(ctx, 0, 0, 100*time.Millisecond, 800*time.Millisecond, 3*time.Second); err != nil || f.draw(6) == 0 {
		return nil, engine.ClassifySendError(&net.OpError{Op: "dial", Err: errors.New("not connected")})
	}
	if !gate(forward.DirectPath) {
		return nil, &engine.ClosedError{Err: io.ErrUnexpectedEOF}
	}
	f.begin(a)
	exchange := &randomExchange{fleet: f, ctx: ctx, attempt: a}
	if err := f.pause(ctx, 0, 100*time.Millisecond, 2*time.Second); err != nil || f.draw(8) == 0 {
		_ = exchange.Close()
		return nil, &engine.ClosedError{Err: io.ErrUnexpectedEOF}
	}
	return exchange, nil
}

func (f *randomFleet) begin(a *forward.Attempt) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sent++
	if a.Repeat {
		f.repeats++
	}
	f.working[a.Upstream.ID] = time.Now()
}

// randomExchange is a stream of up to nine numbered events.
type randomExchange struct {
	forward.Response
	fleet   *randomFleet
	ctx     context.Context
	attempt *forward.Attempt
	last    int
}

func (*randomExchange) Head() forward.Head  { return forward.Head{Status: 200} }
func (*randomExchange) IsEventStream() bool { return true }

func (e *randomExchange) Next() (forward.Event, error) {
	if e.last == 0 {
		e.last, _ = strconv.Atoi("0" + e.attempt.LastEventID)
	}
	if e.last == 9 {
		return forward.Event{}, io.EOF
	}
	err := e.fleet.pause(e.ctx, 40*time.Millisecond, 40*time.Millisecond, 60*time.Millisecond, 60*time.Millisecond, 1500*time.Millisecond)
	if err != nil || e.fleet.draw(15) == 0 {
		return forward.Event{}, &engine.ClosedError{Err: io.ErrUnexpectedEOF}
	}
	e.last++
	return forward.Event{ID: strconv.Itoa(e.last), Data: []byte(strconv.Itoa(e.last))}, nil
}

// Close records for how long the attempt ran beside a later one.
func (e *randomExchange) Close() error {
	e.fleet.lock.Lock()
	defer e.fleet.lock.Unlock()
	began := e.fleet.working[e.attempt.Upstream.ID]
	delete(e.fleet.working, e.attempt.Upstream.ID)
	for _, other := range e.fleet.working {
		if other.After(began) {
			e.fleet.beside = max(e.fleet.beside, time.Since(other))
		}
	}
	return nil
}

// Guards against reservations, retries and runs of attempts that are replaced, refused or cancelled at any moment and not given back, or given back twice, and
// against answers with events that are lost or repeated.
func TestReplacedAttemptsAreNotGivenBack(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			f := &randomFleet{rng: rand.New(rand.NewPCG(seed, 1)), used: map[vaneyoke.UpstreamID]int{}, working: map[vaneyoke.UpstreamID]time.Time{}}
			r := newForwarderWith(f, f)
			defer time.Sleep(time.Minute) // until all upstreams have ended
			defer r.Close()
			now, repeatable := time.Now(), seed%4 > 0
			session := r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: repeatable, ReceivedAt: now}, relay.Forwarding{
				Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(12 * time.Second),
				LatencyGoal: 3 * time.Second, EventIntervalGoal: 700 * time.Millisecond, MaxAttempts: 1 + int(seed%3),
			})
			if seed%5 == 0 {
				time.Sleep(time.Duration(f.draw(6000)) * time.Millisecond)
				session.Abandon()
			}
			result, err := session.Wait(t.Context())
			must.NoError(t, err)
			must.LessEq(t, 12*time.Second, time.Since(now))
			sentAtEnd := f.sent
			time.Sleep(30 * time.Second)
			synctest.Wait()
			f.check(t, seed, result, session, repeatable)
			must.EqOp(t, sentAtEnd, f.sent, must.Sprint("sent after the end, seed ", seed))
		})
	}
}

func (f *randomFleet) check(t *testing.T, seed uint64, result relay.Result, session *relay.Session, repeatable bool) {
	t.Helper()
	note := must.Sprint("seed ", seed, " code ", result.Code)
	for id, left := range f.used {
		must.EqOp(t, 0, left, note, must.Sprint("placements of ", id))
	}
	must.EqOp(t, f.repeats, f.retries, note, must.Sprint("retries taken and not given back"))
	must.MapEmpty(t, f.working, note)
	must.LessEq(t, 400*time.Millisecond, f.beside, note)
	must.StrHasPrefix(t, string(session.Text()), "123456789", note)
	if result.Code == vaneyoke.CodeOK {
		must.EqOp(t, "123456789", string(session.Text()), note)
	}
	if result.Code.Info().NotRun && result.Code != vaneyoke.CodeOK {
		must.EqOp(t, 0, f.sent, note)
	}
	if !repeatable {
		must.LessEq(t, 1, f.sent, note)
	}
}
