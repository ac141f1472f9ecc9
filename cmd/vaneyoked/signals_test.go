package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
)

// catchForTest catches the signals of the test's own process until the test ends.
func catchForTest(t *testing.T) *signals {
	caught := catchSignals()
	t.Cleanup(func() {
		signal.Stop(caught.stops)
		signal.Stop(caught.hangups)
	})
	return caught
}

// blockingNode is a node whose Stop blocks until release is closed.
type blockingNode struct {
	stopCalled, release chan struct{}
	reloads             int
}

func (*blockingNode) Start(context.Context) error             { return nil }
func (s *blockingNode) Reload(settings.Settings)              { s.reloads++ }
func (*blockingNode) StopDeadline(begins time.Time) time.Time { return begins }
func (s *blockingNode) Stop(context.Context) error {
	close(s.stopCalled)
	<-s.release
	return nil
}

// syncBuffer holds log output that may be read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p.
func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// waitFor waits until the log contains text.
func (l *syncBuffer) waitFor(t *testing.T, text string) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		found := bytes.Contains(l.text.Bytes(), []byte(text))
		l.mu.Unlock()
		if found {
			return
		}
		must.Less(t, maxWait, time.Since(start), must.Sprint(text))
	}
}

// TestSignalsDuringAStop sends signals to a node that is stopping: they must be logged, and neither end the process nor reload the settings.
func TestSignalsDuringAStop(t *testing.T) {
	var out syncBuffer
	log, err := telemetry.NewLogger(&out, "info")
	must.NoError(t, err)
	n := &blockingNode{stopCalled: make(chan struct{}), release: make(chan struct{})}
	caught := &signals{stops: make(chan os.Signal), hangups: make(chan os.Signal)}
	r := &runner{node: n, path: "none", log: log, signals: caught}
	ended := make(chan error)
	go func() { ended <- r.run(t.Context()) }()
	caught.hangups <- syscall.SIGHUP // the settings cannot be read, and the node keeps running
	out.waitFor(t, "settings_refused")
	out.waitFor(t, "signal=hangup stopping=false")
	caught.stops <- syscall.SIGTERM
	<-n.stopCalled
	out.waitFor(t, "signal=terminated stopping=false")
	caught.stops <- syscall.SIGTERM
	caught.hangups <- syscall.SIGHUP
	caught.stops <- os.Interrupt
	out.waitFor(t, "signal=terminated stopping=true")
	out.waitFor(t, "signal=hangup stopping=true")
	out.waitFor(t, "signal=interrupt stopping=true")
	close(n.release)
	must.NoError(t, <-ended)
	must.EqOp(t, 0, n.reloads)
}

// blockingStart is a node whose Start blocks until its context is cancelled.
type blockingStart struct{ blockingNode }

func (*blockingStart) Start(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestStopSignalAbortsStart sends SIGTERM to a node that is starting: it must give up the start rather than complete it first.
func TestStopSignalAbortsStart(t *testing.T) {
	log, err := telemetry.NewLogger(&syncBuffer{}, "info")
	must.NoError(t, err)
	caught := &signals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	caught.stops <- syscall.SIGTERM
	r := &runner{node: &blockingStart{}, path: "none", log: log, signals: caught}
	must.ErrorIs(t, r.run(t.Context()), context.Canceled)
}

// TestStopSignalIsNotLostBehindHangups sends many SIGHUPs and then SIGTERM while nobody receives signals: the SIGTERM must still be delivered.
func TestStopSignalIsNotLostBehindHangups(t *testing.T) {
	caught := catchForTest(t)
	for range 40 {
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case got := <-caught.stops:
		must.Eq[os.Signal](t, syscall.SIGTERM, got)
	case <-time.After(maxWait):
		t.Fatal("SIGTERM was lost")
	}
	must.Eq[os.Signal](t, syscall.SIGHUP, <-caught.hangups)
}
