package detours_test

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/overlay"
	"github.com/vaneyoke/vaneyoke/shell/detours"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// lameDuck returns the plan of a stop that ends after a time, and takes requests that may last longer for another.
func lameDuck(ends, anything time.Duration) detours.LameDuck {
	return detours.LameDuck{Deadline: time.Now().Add(ends), AnyUntil: time.Now().Add(anything)}
}

// TestStoppingHelperRefusesItsLastNode has the only helper of a node stop: connections go over it until no answer would be received in time.
func TestStoppingHelperRefusesItsLastNode(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn) { _, _ = io.WriteString(c, "answer"); _ = c.Close() })
	cases := map[string]struct {
		ends, anything, due time.Duration
		connects            bool
	}{
		"due before the end":            {time.Minute, 0, time.Second, true},
		"due after the end":             {time.Minute, 0, 2 * time.Minute, false},
		"due after the end, but early":  {time.Minute, time.Minute, 2 * time.Minute, true},
		"a question, which is not due":  {time.Minute, 0, 0, true},
		"a question after the deadline": {-time.Second, -time.Second, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			node, helper := newPair(t, upstream)
			must.NoError(t, node.dial(t, upstream).Close())
			helper.server.EnterLameDuck(lameDuck(tc.ends, tc.anything))
			for range 3 {
				conn, err := node.dialer.DialContext(forward.WithRemaining(t.Context(), tc.due), "tcp", upstream)
				must.EqOp(t, tc.connects, err == nil, must.Sprint(err))
				if err != nil {
					_, unconfirmed := errors.AsType[*engine.UnconfirmedError](err)
					must.True(t, unconfirmed)
					continue
				}
				must.EqOp(t, forward.PathThrough("helper"), forward.PathOf(conn))
				must.NoError(t, conn.Close())
			}
			helper.server.Stop()
			_, err := node.dialer.DialContext(t.Context(), "tcp", upstream)
			must.Error(t, err)
		})
	}
}

// TestStoppingHelperIsLeftAlone has one of two helpers stop: it must get no connection that the other one makes.
func TestStoppingHelperIsLeftAlone(t *testing.T) {
	upstream := startUpstream(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	node, helper := newPair(t, upstream)
	other := newNode(t, "other", 64)
	other.dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{upstream: "up"})
	node.dialer.SetMembers([]feed.Member{
		helperMember(helper.address), {VM: "other", DataCentre: "a", Address: other.address, Protocol: feed.ProtocolDetours},
	})
	helper.server.EnterLameDuck(lameDuck(time.Minute, time.Minute))
	for range 20 {
		must.EqOp(t, forward.PathThrough("other"), forward.PathOf(node.dial(t, upstream)))
	}
	must.EqOp(t, 0, helper.server.Open())
	other.server.Close()
	must.EqOp(t, forward.PathThrough("helper"), forward.PathOf(node.dial(t, upstream)))
}

// TestInvalidDueTimesAreRefused asks a stopping helper as the last resort with times that are none.
func TestInvalidDueTimesAreRefused(t *testing.T) {
	n := newNode(t, "helper", 2)
	n.dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{"127.0.0.1:1": "up"})
	n.server.EnterLameDuck(lameDuck(time.Minute, 0))
	for _, due := range []string{"", "-1", "x", "9223372036854775807", "9223372036854775808", "60001"} {
		res := httptest.NewRecorder()
		n.server.ServeHTTP(res, httptest.NewRequest(http.MethodPost, detours.Path+"?address=127.0.0.1:1&last_resort="+due, nil))
		must.EqOp(t, http.StatusPreconditionFailed, res.Code, must.Sprint(due))
	}
}

// pipes is a NetDialer of connections that end at once.
type pipes struct{}

// DialContext implements detours.NetDialer.
func (pipes) DialContext(context.Context, string, string) (net.Conn, error) {
	conn, other := net.Pipe()
	return conn, other.Close()
}

// pipeRecorder is a response to a node that leaves as soon as it has a detour.
type pipeRecorder struct{ *httptest.ResponseRecorder }

// Hijack implements http.Hijacker.
func (r pipeRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, node := net.Pipe()
	go func() {
		_, _ = node.Read(make([]byte, 1))
		_ = node.Close()
	}()
	return conn, bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn)), nil
}

// Guards against a stopping helper that leaves between two calls of a node which may have no other way, and against one that outlasts its grace.
func TestDrainLeavesDependentNodes(t *testing.T) {
	ms := func(times ...int) (durations []time.Duration) {
		for _, n := range times {
			durations = append(durations, time.Duration(n)*time.Millisecond)
		}
		return durations
	}
	cases := map[string]struct {
		before  time.Duration   // for which a detour was opened when the stop begins; 0 for none
		opened  []time.Duration // when detours are opened, after the stop begins
		drained time.Duration
	}{
		"never":           {0, nil, 0},
		"before the stop": {400 * time.Millisecond, nil, 600 * time.Millisecond},
		"long before":     {time.Second, nil, 0},
		"once":            {0, ms(0), time.Second},
		"again and again": {0, ms(0, 900, 1800), 2800 * time.Millisecond},
		"to the end":      {0, ms(0, 900, 1800, 2700, 3600, 4500), 5 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				dialer := detours.NewDialer("helper", overlay.New("a", rand.New(rand.NewPCG(1, 1))), pipes{}, detours.NewMetrics(new(expvar.Map).Init()), log)
				dialer.SetUpstreams(map[string]vaneyoke.UpstreamID{"up:80": "up"})
				server := detours.NewServer(dialer, 8, new(expvar.Map).Init(), log)
				ask := func() int {
					res := pipeRecorder{httptest.NewRecorder()}
					server.ServeHTTP(res, httptest.NewRequest(http.MethodPost, detours.Path+"?address=up:80&last_resort=0", nil))
					return res.Code
				}
				if tc.before > 0 {
					must.EqOp(t, http.StatusOK, ask())
					time.Sleep(tc.before)
				}
				began := time.Now()
				server.EnterLameDuck(lameDuck(5*time.Second, 0))
				drained := make(chan time.Duration, 1)
				go func() {
					ctx, cancel := context.WithDeadline(t.Context(), began.Add(5*time.Second))
					defer cancel()
					if len(tc.opened) > 0 {
						time.Sleep(time.Millisecond)
					}
					server.Drain(ctx)
					drained <- time.Since(began)
				}()
				for _, at := range tc.opened {
					time.Sleep(time.Until(began.Add(at)))
					must.EqOp(t, http.StatusOK, ask())
				}
				must.EqOp(t, tc.drained, <-drained)
				must.EqOp(t, http.StatusServiceUnavailable, ask())
			})
		})
	}
}
