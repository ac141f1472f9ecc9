package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/node"
	"github.com/vaneyoke/vaneyoke/settings"
)

// signalsKept is how many signals wait while one is acted on; further ones of the same meaning add nothing.
const signalsKept = 16

// catchSignals keeps the signals that a node follows from ending the process, and the one that a write to the log brings
// where its reader is gone.
func catchSignals() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalsKept)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// runner has a node follow the process's signals. They are caught until the process has ended, so that none cuts a stop short.
type runner struct {
	node    node.Process
	path    string // of the settings
	log     logrus.FieldLogger
	signals <-chan os.Signal
}

// untilStopped takes in the settings at each SIGHUP until another signal comes or ctx ends.
func (r *runner) untilStopped(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case signal := <-r.signals:
			r.tell(signal, false)
			if signal != syscall.SIGHUP {
				return
			}
			r.reload()
		}
	}
}

// reload takes in the settings; a file with errors is told of and left aside.
func (r *runner) reload() {
	s, err := settings.Load(r.path)
	if err != nil {
		r.log.WithFields(logrus.Fields{"code": int(vaneyoke.CodeOf(err)), "error": err}).Error("settings_refused")
		return
	}
	r.node.Reload(s)
}

// stop stops the node; signals that come meanwhile are told of and change nothing.
func (r *runner) stop(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- r.node.Stop(ctx) }()
	for {
		select {
		case err := <-stopped:
			return err
		case signal := <-r.signals:
			r.tell(signal, true)
		}
	}
}

func (r *runner) tell(signal os.Signal, stopping bool) {
	r.log.WithFields(logrus.Fields{"signal": signal, "stopping": stopping}).Info("signal_received")
}
