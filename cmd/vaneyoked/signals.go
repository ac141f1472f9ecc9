package main

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/node"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
)

// signals holds the signals that the process receives. Each kind has its own channel, so that SIGHUPs cannot displace a SIGTERM.
type signals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// catchSignals starts to receive the signals that control a node, which then no longer end the process. It also ignores SIGPIPE,
// which a write to the log raises if its reader has closed the pipe.
func catchSignals() *signals {
	signal.Ignore(syscall.SIGPIPE)
	s := &signals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// Bounds of the time that the process waits at its end for the reader of the log to take the remaining lines.
const (
	minLogCloseTimeout = 50 * time.Millisecond
	maxLogCloseTimeout = 500 * time.Millisecond
)

// runner runs a node under the control of the process's signals. They are caught until the process ends, so that none interrupts
// a graceful stop.
type runner struct {
	node      node.Process
	path      string // of the settings file
	log       logrus.FieldLogger
	signals   *signals
	stopping  atomic.Bool
	stopBegan time.Time // zero before the node's stop
}

// stopOnSignal returns a context that is cancelled by the first SIGTERM or interrupt. Further ones are logged until done is closed,
// and have no other effect.
func (r *runner) stopOnSignal(ctx context.Context, done <-chan struct{}) context.Context {
	ctx, stop := context.WithCancel(ctx)
	go func() {
		defer stop()
		for {
			select {
			case <-done:
				return
			case signal := <-r.signals.stops:
				r.logSignal(signal)
				r.stopping.Store(true)
				stop()
			}
		}
	}()
	return ctx
}

// reloadOnHangup reloads the settings on each SIGHUP until done is closed. A SIGHUP that arrives while the node stops is only logged.
func (r *runner) reloadOnHangup(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case signal := <-r.signals.hangups:
			r.logSignal(signal)
			if !r.stopping.Load() {
				r.reload()
			}
		}
	}
}

// run starts the node, and stops it when ctx ends or a signal asks for it.
func (r *runner) run(ctx context.Context) error {
	done := make(chan struct{})
	defer close(done)
	running := r.stopOnSignal(ctx, done)
	if err := r.node.Start(running); err != nil {
		return err
	}
	go r.reloadOnHangup(done)
	<-running.Done()
	r.stopping.Store(true)
	r.stopBegan = time.Now()
	return r.node.Stop(context.WithoutCancel(ctx))
}

// closeLog writes out the log. Its reader may take what is left of the grace, within bounds.
func (r *runner) closeLog(out *telemetry.AsyncWriter) {
	timeout := maxLogCloseTimeout
	if now := time.Now(); !r.stopBegan.IsZero() {
		timeout = min(max(r.node.StopDeadline(r.stopBegan).Sub(now), minLogCloseTimeout), maxLogCloseTimeout)
		r.log.WithFields(logrus.Fields{"ms": now.Sub(r.stopBegan).Milliseconds(), "log_ms": timeout.Milliseconds()}).Info("process_ending")
	}
	out.Close(timeout)
}

// reload reads the settings file and applies it to the node. If the file has errors, they are logged and the node keeps its settings.
func (r *runner) reload() {
	s, err := settings.Load(r.path)
	if err != nil {
		r.log.WithFields(logrus.Fields{"code": int(vaneyoke.CodeOf(err)), "error": err}).Error("settings_refused")
		return
	}
	r.node.Reload(s)
}

func (r *runner) logSignal(signal os.Signal) {
	r.log.WithFields(logrus.Fields{"signal": signal, "stopping": r.stopping.Load()}).Info("signal_received")
}
