package relay_test

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/backlog"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// pieceBytes is the size of an event in these tests.
const pieceBytes = 100

// readCounter is a stream whose events are there at once, and which is cut off when it was not read for cutAfter.
type readCounter struct {
	events   int
	cutAfter time.Duration // 0 for never
	read     atomic.Int64
	lastRead time.Time
}

func (*readCounter) Head() forward.Head    { return forward.Head{Status: http.StatusOK} }
func (*readCounter) IsEventStream() bool   { return true }
func (*readCounter) Body() ([]byte, error) { return nil, io.ErrUnexpectedEOF }
func (*readCounter) Close() error          { return nil }
func (r *readCounter) Next() (forward.Event, error) {
	if r.cutAfter > 0 && !r.lastRead.IsZero() && time.Since(r.lastRead) > r.cutAfter {
		return forward.Event{}, io.ErrUnexpectedEOF
	}
	r.lastRead = time.Now()
	if int(r.read.Load()) == r.events {
		return forward.Event{}, io.EOF
	}
	n := r.read.Add(1)
	return forward.Event{ID: string(rune('0' + n)), Data: bytes.Repeat([]byte{'x'}, pieceBytes)}, nil
}

// streamSender gives each attempt a stream.
type streamSender struct {
	fakeSender
	streams []*readCounter
	sent    int
}

func (s *streamSender) Send(context.Context, *forward.Attempt) (forward.Response, error) {
	s.sent++
	return s.streams[s.sent-1], nil
}

func newBoundedRelay(sender forward.Sender, limits backlog.Limits) (*relay.Relay, *relay.Metrics) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics := relay.NewMetrics(new(expvar.Map).Init())
	config := relay.Config{Generation: generation.DefaultConfig(), Buffers: limits}
	return relay.New(nil, sender, &sequentialPlacer{}, noop.NewTracerProvider().Tracer(""), metrics, log, config), metrics
}

// startStream starts a stream for a caller with an account.
func startStream(t *testing.T, r *relay.Relay, cut func()) (*relay.Session, *relay.Buffer) {
	now := time.Now()
	buffer := r.OpenBuffer("r", cut)
	return r.Forward(t.Context(), &vaneyoke.Request{ID: "r", Repeatable: true, ReceivedAt: now}, relay.Forwarding{
		Message: &forward.Message{}, Service: "lm", Stream: true, Deadline: now.Add(time.Minute), Buffer: buffer,
		LatencyGoal: 4500 * time.Millisecond, EventIntervalGoal: 700 * time.Millisecond, MaxAttempts: 5,
	}), buffer
}

// TestUnreadStreamIsReadToItsEnd lets a caller read nothing for a while: its upstream's stream is read up to the bound, the run is not taken for
// silent meanwhile, and the answer is whole in the end.
func TestUnreadStreamIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &readCounter{events: 50}
		r, metrics := newBoundedRelay(&streamSender{streams: []*readCounter{stream}}, backlog.Limits{Caller: 10 * pieceBytes})
		session, buffer := startStream(t, r, func() {})
		time.Sleep(20 * time.Second)
		must.EqOp(t, 10, int(stream.read.Load()))
		must.EqOp(t, 10*pieceBytes, r.BufferedBytes())
		must.EqOp(t, "1", metrics.Paused.Get("caller").String())
		offset := 0
		for {
			text, result, err := session.Read(t.Context(), offset)
			must.NoError(t, err)
			if result.Ended {
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, 1, result.Stats.Attempts)
				break
			}
			offset += len(text)
			session.Delivered(offset)
			time.Sleep(time.Millisecond)
		}
		must.EqOp(t, 50*pieceBytes, offset)
		must.Zero(t, r.BufferedBytes())
		buffer.Close()
		r.Close()
		synctest.Wait()
	})
}

// TestUnreadAnswerIsBegunAnew has the upstream cut off an answer that is not read: no other upstream gets the request.
func TestUnreadAnswerIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &streamSender{streams: []*readCounter{{events: 50, cutAfter: 3 * time.Second}, {events: 50}}}
		r, metrics := newBoundedRelay(sender, backlog.Limits{Caller: 10 * pieceBytes})
		session, _ := startStream(t, r, func() {})
		time.Sleep(5 * time.Second)
		session.Delivered(10 * pieceBytes)
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeCallerGone, result.Code)
		must.EqOp(t, 1, sender.sent)
		must.EqOp(t, "1", metrics.Cut.Get("upstream_cut_off").String())
		r.Close()
		synctest.Wait()
	})
}

// TestStalledCallersKeepTheNodesMemory holds the node's memory with two callers that read nothing: as both wait for memory, they are cut off.
func TestStalledCallersKeepTheNodesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const node = 40 * pieceBytes
		sender := &streamSender{streams: []*readCounter{{events: 500}, {events: 500}}}
		r, metrics := newBoundedRelay(sender, backlog.Limits{Node: node, Patience: 5 * time.Second})
		var cut atomic.Int64
		var sessions []*relay.Session
		for range 2 {
			var session *relay.Session
			var buffer *relay.Buffer
			session, buffer = startStream(t, r, func() {
				cut.Add(1)
				session.Abandon()
				buffer.Close()
			})
			sessions = append(sessions, session)
			synctest.Wait()
		}
		time.Sleep(4 * time.Second)
		must.Zero(t, cut.Load())
		must.LessEq(t, node, r.BufferedBytes())
		time.Sleep(2 * time.Second)
		must.Positive(t, cut.Load())
		must.LessEq(t, node/2, r.BufferedBytes())
		must.EqOp(t, strconv.FormatInt(cut.Load(), 10), metrics.Cut.Get("stalled").String())
		for _, session := range sessions {
			session.Abandon()
		}
		r.Close()
		synctest.Wait()
	})
}
