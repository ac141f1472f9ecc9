package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// stopping has the first node stop, and returns a function that waits for the end of that.
func stopping(t *testing.T, f *fleet.Fleet) (wait func() error) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- f.Nodes[0].Stop(context.WithoutCancel(t.Context())) }()
	return func() error { return <-done }
}

// withShortGrace has nodes judge nothing and stop within a second.
func withShortGrace(c *fleet.Config) {
	c.Adjust = func(s *settings.Settings) {
		patient(s)
		s.Node.Grace, s.Limits.CallSilence, s.Limits.UnaryTimeout, s.Limits.MaxWait = time.Second, time.Hour, time.Hour, time.Hour
	}
}

// waitOpen waits until a node runs a request.
func waitOpen(t *testing.T, f *fleet.Fleet, node int) {
	t.Helper()
	for {
		res, err := http.Get(f.Nodes[node].AdminURL() + "/debug/vars")
		must.NoError(t, err)
		var vars struct {
			Open int `json:"sessions_open"`
		}
		must.NoError(t, json.NewDecoder(res.Body).Decode(&vars))
		_ = res.Body.Close()
		if vars.Open > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestStoppingNodeAnswersEveryCallThatRan has calls come on new and on kept connections until the node is gone.
func TestStoppingNodeAnswersEveryCallThatRan(t *testing.T) {
	const callers = 12
	f := start(t, withShortGrace)
	f.Services[0].SetDelay(20 * time.Millisecond)
	var mu sync.Mutex
	broken := map[string]error{}
	var sent atomic.Int64
	var wait sync.WaitGroup
	for i := range callers {
		transport := &http.Transport{DisableKeepAlives: i%2 == 0}
		defer transport.CloseIdleConnections()
		c := client.New(&http.Client{Transport: transport}, f.Nodes[0].URL(), fleet.CallerKey)
		wait.Go(func() {
			for n := 0; ; n++ {
				order := fmt.Sprintf("%d-%d", i, n)
				sent.Add(1)
				_, err := c.Call(t.Context(), fleet.Service, "reserve", []byte(`{"order":"`+order+`"}`), nil)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if _, failed := errors.AsType[*client.FailedError](err); err != nil && !failed {
					mu.Lock()
					broken[order] = err
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, stopping(t, f)())
	wait.Wait()
	orders := f.Services[0].Orders()
	must.MapNotEmpty(t, orders)
	t.Logf("%d calls sent, %d run, %d closed without an answer", sent.Load(), len(orders), len(broken))
	for order, err := range broken {
		must.MapNotContainsKey(t, orders, order, must.Sprintf("the call ran, and its caller was told %v", err))
	}
}

// occupy has nobody listen at the address of a service that was closed. Else a test of another process may: of 504 calls that no service was there
// for, beside 13 other processes that open ports, one ended with another answer than the node's own; of 2,240 with the address kept, none.
func occupy(t *testing.T, url string) {
	t.Helper()
	address := netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	must.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1))
	must.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}))
}

// attemptLines are the lines that tell of an attempt's start and of its loss; the first attempt's start has none.
var attemptLines = regexp.MustCompile(`msg=attempt_(started|lost) .*?attempt=(\d+)`)

// underWay reports whether the last attempt that was started had no outcome as its request ended. Of 2,744 calls that no service was there for, six
// ended in the millisecond in which an attempt was begun.
func underWay(log string) bool {
	last := map[string]int{"started": 1}
	for _, found := range attemptLines.FindAllStringSubmatch(log, -1) {
		number, _ := strconv.Atoi(found[2])
		last[found[1]] = max(last[found[1]], number)
	}
	return last["started"] > last["lost"]
}

// TestStoppingNodeAnswersWhatIsLeft has a request outlast the grace; its caller has to be told whether it may have run.
func TestStoppingNodeAnswersWhatIsLeft(t *testing.T) {
	hang := func(f *fleet.Fleet) { f.Services[0].SetDelay(time.Hour) }
	gone := func(f *fleet.Fleet) {
		_ = f.Services[0].Close()
		occupy(t, f.Services[0].URL())
	}
	frozen := func(f *fleet.Fleet) {
		for _, e := range f.Engines {
			e.Pause()
		}
	}
	call := func(header http.Header) func(context.Context, *client.Client) error {
		return func(ctx context.Context, c *client.Client) error {
			_, err := c.Call(ctx, fleet.Service, "reserve", []byte(`{"order":"a"}`), header)
			return err
		}
	}
	generate := func(ctx context.Context, c *client.Client) error {
		req, _ := prompt("describe the carpets of stall nine length=120")
		s, err := c.Generate(ctx, req, nil)
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		for err == nil {
			_, err = s.Next()
		}
		return err
	}
	cases := map[string]struct {
		before func(*fleet.Fleet)
		ask    func(context.Context, *client.Client) error
		gap    time.Duration // between an engine's tokens
		codes  []string
		notRun bool
	}{
		"call that hangs":             {hang, call(nil), 0, []string{"may_have_run"}, false},
		"call with a key that hangs":  {hang, call(http.Header{"Idempotency-Key": {"k"}}), 0, []string{"may_have_run"}, false},
		"call that was sent nowhere":  {gone, call(nil), 0, []string{"stopping", "no_upstream", "wait_exceeded"}, true},
		"stream without a first word": {frozen, generate, 0, []string{"interrupted", "may_have_run"}, false},
		"stream that has begun":       {func(*fleet.Fleet) {}, generate, 500 * time.Millisecond, []string{"interrupted"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			f := start(t, func(c *fleet.Config) {
				withShortGrace(c)
				c.Log, c.LogLevel = &log, "info"
				if tc.gap > 0 {
					c.Engine.Gap = tc.gap
				}
			})
			tc.before(f)
			heard := make(chan error, 1)
			c := client.New(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, f.Nodes[0].URL(), fleet.CallerKey)
			go func() { heard <- tc.ask(t.Context(), c) }()
			waitOpen(t, f, 0)
			stopped := stopping(t, f)
			failed, ok := errors.AsType[*client.FailedError](<-heard)
			_ = stopped() // whether it counts as cut off is not held here
			must.True(t, ok, must.Sprint("the connection was closed without an answer"))
			if tc.notRun && underWay(log.String()) { // nobody knows yet whether the upstream takes the connection
				tc.codes, tc.notRun = []string{"may_have_run"}, false
			}
			must.SliceContains(t, tc.codes, failed.Detail.Type, must.Sprint(log.String()))
			must.EqOp(t, tc.notRun, failed.Detail.NotRun)
		})
	}
}

// TestStreamThatOutlastsTheGraceGoesOnElsewhere has a stream be interrupted at the end of a node's grace: its caller comes back
// to another node, which goes on with the same run.
func TestStreamThatOutlastsTheGraceGoesOnElsewhere(t *testing.T) {
	f := start(t, func(c *fleet.Config) {
		withShortGrace(c)
		c.Nodes, c.Engine.Gap = 4, 30*time.Millisecond
	})
	c := newCaller(t, f, "key-1")
	s, err := c.connect(0)
	must.NoError(t, err)
	must.NoError(t, c.read(s, 5))
	stopped := stopping(t, f)
	failed, ok := errors.AsType[*client.FailedError](c.read(s, 10*answerTokens))
	must.True(t, ok)
	must.EqOp(t, vaneyoke.CodeInterrupted.Info().Name, failed.Detail.Type)
	must.EqOp(t, vaneyoke.CodeInterrupted, vaneyoke.CodeOf(stopped()))
	s, err = c.connect(1)
	must.NoError(t, err)
	must.SliceEmpty(t, c.readAll(s).Seams)
	must.Zero(t, cancels(f))
}

// TestStoppingNodeAnswersAnOperator stops a node that has committed a change and waits for the others to confirm it.
func TestStoppingNodeAnswersAnOperator(t *testing.T) {
	f := startMembers(t, 3, func(s *settings.Settings) { s.Node.Grace = 5 * time.Second })
	f.Nodes[1].Kill()
	f.Nodes[2].Kill()
	l, err := dial(t.Context(), f.Nodes[0].AdminURL())
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	o := submit("late", "1s")
	body, err := json.Marshal(o.body)
	must.NoError(t, err)
	raw, _ := post(o.method, o.path, o.key, string(body))
	_, err = l.Write(raw)
	must.NoError(t, err)
	for len(f.Platform.Rows("policy")) == 0 {
		must.NoError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
	stopped := stopping(t, f)
	got, err := l.answer()
	must.NoError(t, err, must.Sprint("the change is committed, and its operator was told nothing"))
	must.EqOp(t, vaneyoke.CodeNotConfirmed.Info().Name, got.failure.Type)
	must.NoError(t, stopped())
}

// TestStoppedNodeHasToldOfEachRequest looks for a line of the log for a call that outlasts the grace.
func TestStoppedNodeHasToldOfEachRequest(t *testing.T) {
	var log lockedBuffer
	f := start(t, func(c *fleet.Config) {
		withShortGrace(c)
		c.Log, c.LogLevel = &log, "info"
	})
	f.Services[0].SetDelay(time.Hour)
	l, err := dial(t.Context(), f.Nodes[0].URL())
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	raw, _ := reserve("a")
	_, err = l.Write(raw)
	must.NoError(t, err)
	waitOpen(t, f, 0)
	_ = stopping(t, f)()
	must.StrContains(t, log.String(), "session_ended")
}

// TestStopDoesNotWaitForAHalfRequestOfAnOperator leaves a connection with a part of a request open at the address of
// metrics; a node that has left the members must not run on for the rest of its grace because of it, nor call that a cut.
func TestStopDoesNotWaitForAHalfRequestOfAnOperator(t *testing.T) {
	f := startMembers(t, 2, func(s *settings.Settings) { s.Node.Grace = 8 * time.Second })
	l, err := dial(t.Context(), f.Nodes[0].AdminURL())
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	raw, at := post("POST", "/debug/pprof/symbol", "none", "0x1+0x2+0x3+0x4")
	_, err = l.Write(raw[:at+1])
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	err = stopping(t, f)()
	t.Logf("the stop took %v, %v", time.Since(began), err)
	must.Less(t, 4*time.Second, time.Since(began))
	must.NoError(t, err)
}

// lockedBuffer is a log that several nodes write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds lines.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the lines.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
