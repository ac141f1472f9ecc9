package node

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/gateway"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// pipeListener accepts connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	stall  time.Duration // for which the process is suspended as it sets a read deadline in the future; 0 for never
}

// stallingConn is a connection of a pipeListener.
type stallingConn struct {
	net.Conn
	stall time.Duration
}

// SetReadDeadline sets the read deadline. While a request is answered, the process is then suspended.
func (c *stallingConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if wait := time.Until(t); wait > 0 && wait < headerWait {
		time.Sleep(c.stall)
	}
	return err
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection and sends the beginning of a request.
func (l *pipeListener) dial(t *testing.T, text string) net.Conn {
	caller, server := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	l.conns <- &stallingConn{Conn: server, stall: l.stall}
	_, err := io.WriteString(caller, text)
	must.NoError(t, err)
	return caller
}

// oneUpstream is a placer with a single upstream.
type oneUpstream struct{ relay.Placer }

func (oneUpstream) Admit(placement.Need) {}
func (oneUpstream) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	return vaneyoke.Upstream{ID: "a", URL: "http://a"}, 0, nil
}
func (oneUpstream) Ended(vaneyoke.UpstreamID, placement.Outcome, bool)    {}
func (oneUpstream) FirstToken(vaneyoke.UpstreamID, time.Duration, int)    {}
func (oneUpstream) PromptHolders(placement.Need) []vaneyoke.Upstream      { return nil }
func (oneUpstream) AffinityUpstreams(placement.Need) []vaneyoke.Upstream  { return nil }
func (oneUpstream) SpilloverUpstreams(placement.Need) []vaneyoke.Upstream { return nil }
func (oneUpstream) HasRoom(placement.Need) bool                           { return true }
func (oneUpstream) Reported(vaneyoke.UpstreamID, vaneyoke.LoadReport)     {}
func (oneUpstream) ReleaseReplica(vaneyoke.UpstreamID, placement.Need)    {}
func (oneUpstream) Resumed(vaneyoke.UpstreamID)                           {}
func (oneUpstream) RefundRetry(placement.Need)                            {}
func (oneUpstream) PickReplica(placement.Need, vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{}, false
}

// timedSender answers calls at a moment, and streams with one event and nothing more.
type timedSender struct {
	forward.Sender
	callsEnd time.Time
}

func (s *timedSender) Send(ctx context.Context, a *forward.Attempt) (forward.Response, error) {
	if a.Stream {
		return &openStream{ctx: ctx}, nil
	}
	select {
	case <-time.After(time.Until(s.callsEnd)):
		return wholeBody{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (*timedSender) LoadReport(context.Context, vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	return vaneyoke.LoadReport{}, false
}

func (*timedSender) Probe(context.Context, vaneyoke.Upstream, forward.Path) bool { return true }
func (*timedSender) RunState(context.Context, vaneyoke.Upstream, forward.Path, vaneyoke.RequestID) (vaneyoke.RunState, vaneyoke.Tokens) {
	return vaneyoke.RunStateRunning, 1
}

// openStream is a stream that stays open after its first event.
type openStream struct {
	ctx  context.Context
	sent bool
}

func (*openStream) Head() forward.Head    { return forward.Head{Status: http.StatusOK} }
func (*openStream) IsEventStream() bool   { return true }
func (*openStream) Body() ([]byte, error) { return nil, io.ErrUnexpectedEOF }
func (*openStream) Close() error          { return nil }
func (s *openStream) Next() (forward.Event, error) {
	if !s.sent {
		s.sent = true
		return forward.Event{ID: "1", Data: []byte("id: 1\ndata: x\n\n")}, nil
	}
	<-s.ctx.Done()
	return forward.Event{}, s.ctx.Err()
}

// wholeBody is a complete answer.
type wholeBody struct{}

func (wholeBody) Head() forward.Head    { return forward.Head{Status: http.StatusOK} }
func (wholeBody) IsEventStream() bool   { return false }
func (wholeBody) Body() ([]byte, error) { return []byte("answer"), nil }
func (wholeBody) Next() (forward.Event, error) {
	return forward.Event{}, io.ErrUnexpectedEOF
}
func (wholeBody) Close() error { return nil }

// tableSource is a source of route tables.
type tableSource struct{ table atomic.Pointer[route.Table] }

func (s *tableSource) Routes() *route.Table { return s.table.Load() }

// set makes a table with the given routes the newest.
func (s *tableSource) set(version vaneyoke.Revision, routes ...route.Route) {
	s.setWith(version, nil, routes...)
}

// setWith makes a table with the given workspaces and routes the newest.
func (s *tableSource) setWith(version vaneyoke.Revision, workspaces []route.Workspace, routes ...route.Route) {
	s.table.Store(route.NewTable(version, routes, []route.Service{{ID: "s"}, {ID: "s2"}}, workspaces, route.Limits{}))
}

// plainCodec reads a request's id, key and prompt, and how long its caller waits.
type plainCodec struct{}

func (plainCodec) Decode(r *http.Request) (gateway.Envelope, error) {
	wait, err := time.ParseDuration(r.Header.Get("Wait"))
	return gateway.Envelope{ID: vaneyoke.RequestID(r.Header.Get("Id")), MaxWait: wait, APIKey: r.Header.Get("Key"), PromptParts: r.Header["Prompt"]}, err
}

// Times of the server of a drainSetup.
const (
	headerWait = 10 * time.Second
	idleWait   = 30 * time.Second
	maxBody    = 1 << 20
)

// drainSetup is a server with a gateway and its relay.
type drainSetup struct {
	*pipeListener
	server  *serve.Server
	relay   *relay.Relay
	gateway *gateway.Gateway
	tables  *tableSource
}

// tellRoute and buyRoute are the routes of a drainSetup.
var (
	tellRoute = route.Route{ID: "tell", Host: "h", Prefix: "/tell/", Kind: route.KindStream, Resumable: true, Timeout: time.Hour, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}}
	buyRoute  = route.Route{ID: "buy", Host: "h", Prefix: "/buy/", Kind: route.KindOnce, Timeout: time.Hour, MaxAttempts: 1, Targets: []route.Target{{Service: "s", Weight: 1}}}
)

func newDrainSetup(t *testing.T, sender forward.Sender, onAbort func(serve.Abort)) *drainSetup {
	return newDrainSetupWith(t, sender, oneUpstream{}, onAbort)
}

func newDrainSetupWith(t *testing.T, sender forward.Sender, placer relay.Placer, onAbort func(serve.Abort)) *drainSetup {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tables := &tableSource{}
	tables.set(1, tellRoute, buyRoute)
	config := generation.DefaultConfig()
	config.Silence = generation.Silence{FirstToken: time.Hour, Floor: time.Hour, Ceiling: time.Hour}
	r := relay.New(nil, sender, placer, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, relay.Config{Generation: config, CallSilence: time.Hour})
	g := gateway.New(gateway.Config{MaxBodyBytes: maxBody, MaxWait: time.Hour, WriteTimeout: time.Hour}, plainCodec{}, tables, r, nil, gateway.NewMetrics(new(expvar.Map).Init()), log)
	s := &drainSetup{pipeListener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, relay: r, gateway: g, tables: tables}
	s.server = serve.New(g, serve.Config{ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, ErrorLog: serverErrors(log), OnAbort: onAbort})
	go func() { _ = s.server.Serve(s.pipeListener) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		r.Close()
		time.Sleep(time.Second) // package http waits before it closes some connections
	})
	return s
}

func head(id, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nWait: 10m\r\nContent-Length: 1\r\n\r\n", path, id)
}

// processorTime returns how long the process has used processors.
func processorTime(t *testing.T) time.Duration {
	var used syscall.Rusage
	must.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// Guards against a call that is answered just before the end of a stop and waits for many streams to be ended. The end of each stream holds up the
// others for as long as the node allows for it.
func TestStopEndsStreamsBeforeCalls(t *testing.T) {
	const streams = 120
	synctest.Test(t, func(t *testing.T) {
		deadline := time.Now().Add(time.Minute)
		processor := make(chan struct{}, 1)
		var first, last time.Time // when the streams were interrupted, and when the last one had ended
		var ended int
		var before, after time.Duration
		s := newDrainSetup(t, &timedSender{callsEnd: deadline.Add(-time.Millisecond / 2)}, func(serve.Abort) {
			processor <- struct{}{}
			if ended == 0 {
				first, before = time.Now(), processorTime(t)
			}
			ended++
			time.Sleep(interruptLeadPerStream - time.Millisecond/streams)
			last, after = time.Now(), processorTime(t)
			<-processor
		})
		for i := range streams {
			conn := s.dial(t, head(fmt.Sprint("stream-", i), "/tell/x")+"x")
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		call := s.dial(t, head("call", "/buy/x")+"x")
		synctest.Wait()
		drained := make(chan int, 1)
		go func() { drained <- drainServer(t.Context(), s.server, s.relay, deadline) }()
		res, err := http.ReadResponse(bufio.NewReader(call), nil)
		must.NoError(t, err)
		answered := time.Now()
		must.EqOp(t, http.StatusOK, res.StatusCode)
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.EqOp(t, "answer", string(body))
		must.EqOp(t, streams, <-drained)
		must.False(t, time.Now().After(deadline))
		must.EqOp(t, streams, ended)
		must.False(t, last.After(answered), must.Sprint("streams ended after the call, the last one after ", last.Sub(answered)))
		must.EqOp(t, streams*interruptLeadPerStream, deadline.Sub(first))
		must.LessEq(t, streams*interruptLeadPerStream, after-before)
		t.Logf("%d streams were ended with %v of processors", streams, after-before)
	})
}

// stalledCounts are counts that nobody takes.
type stalledCounts struct{}

func (stalledCounts) Flush(ctx context.Context) { <-ctx.Done() }

// Guards against a stop that is late by the sum of the times by which each of its parts is late: a busy node sees its deadline late.
func TestLateDeadlineDelaysTheEndOfTheStop(t *testing.T) {
	const late = 80 * time.Millisecond
	cases := map[string]func(t *testing.T, deadline, ends time.Time){
		"a call that is half received": func(t *testing.T, deadline, _ time.Time) {
			s := newDrainSetup(t, &timedSender{}, nil)
			s.dial(t, head("half", "/buy/x"))
			synctest.Wait()
			drainServer(t.Context(), s.server, s.relay, deadline)
		},
		"counts that are not taken": func(t *testing.T, deadline, ends time.Time) {
			drained, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			flushCounts(t.Context(), drained, stalledCounts{}, ends)
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deadline := time.Now().Add(-late)
				ends := deadline.Add(finalAnswerTimeout)
				stop(t, deadline, ends)
				must.EqOp(t, 0, time.Since(ends))
			})
		})
	}
}
