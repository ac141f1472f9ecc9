package gateway

import (
	"bytes"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/backlog"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

func newBoundedBuffer(t *testing.T, node backlog.Bytes) (*relay.Relay, *relay.Buffer) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := relay.Config{Buffers: backlog.Limits{Node: node}}
	r := relay.New(nil, nil, onePlacer{}, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, config)
	t.Cleanup(r.Close)
	return r, r.OpenBuffer("r", func() {})
}

// Guards against a body that takes more memory than is accounted for, so that a node is killed for its memory below its bound.
func TestBodyTakesMoreMemoryThanIsAccountedFor(t *testing.T) {
	const size = 4 << 20
	r, buffer := newBoundedBuffer(t, 64<<20)
	text := bytes.Repeat([]byte{'x'}, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	body, err := readReserved(bytes.NewReader(text), size, buffer)
	runtime.ReadMemStats(&after)
	must.NoError(t, err)
	must.True(t, bytes.Equal(text, body))
	must.EqOp(t, size, r.BufferedBytes())
	must.Less(t, size+size/16, after.TotalAlloc-before.TotalAlloc)

	for _, length := range []int{0, 1, 4095, 4096, 4097, 100_000, size} { // of unknown length
		r, buffer := newBoundedBuffer(t, 64<<20)
		body, err := readReserved(iotest.HalfReader(bytes.NewReader(text[:length])), -1, buffer)
		must.NoError(t, err)
		must.EqOp(t, length, len(body))
		must.EqOp(t, int64(cap(body)), r.BufferedBytes())
		must.LessEq(t, max(4096, 2*length), cap(body))
	}
}

// Guards against memory that is taken before it is reserved, and against a short body that is taken for whole.
func TestBodyIsReadWithoutRoomOrInPart(t *testing.T) {
	for _, length := range []int64{1 << 20, -1} {
		read := 0
		r, buffer := newBoundedBuffer(t, 1<<20)
		must.NoError(t, buffer.Reserve(100_000)) // so that it is not the only one
		_, err := readReserved(readerFunc(func(p []byte) (int, error) { read += len(p); return len(p), nil }), length, r.OpenBuffer("other", func() {}))
		must.EqOp(t, vaneyoke.CodeNoMemory, vaneyoke.CodeOf(err))
		must.Less(t, 1<<20, read)
	}
	_, buffer := newBoundedBuffer(t, 1<<20)
	_, err := readReserved(bytes.NewReader([]byte("short")), 10, buffer)
	must.True(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against a log that blames the caller for a connection that the node closed.
func TestCallerIsBlamedForAConnectionThatTheNodeClosed(t *testing.T) {
	for code, err := range map[vaneyoke.Code]error{
		vaneyoke.CodeOK:           nil,
		vaneyoke.CodeStopping:     &net.OpError{Op: "read", Err: net.ErrClosed},
		vaneyoke.CodeBadRequest:   io.ErrUnexpectedEOF,
		vaneyoke.CodeBodyTooLarge: &http.MaxBytesError{Limit: 9},
		vaneyoke.CodeNoMemory:     vaneyoke.Err(vaneyoke.CodeNoMemory, "no room"),
	} {
		must.EqOp(t, code, vaneyoke.CodeOf(bodyError(err, 9, time.Second)))
	}
	must.EqOp(t, bodyByNode, bodyEndOf(bodyError(&net.OpError{Op: "read", Err: net.ErrClosed}, 9, time.Second)))
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
