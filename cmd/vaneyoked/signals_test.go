package main

import (
	"bytes"
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/settings"
	"github.com/vaneyoke/vaneyoke/telemetry"
)

// stopping is a node whose stop lasts until it is let go.
type stopping struct {
	begun, letGo chan struct{}
	reloads      int
}

func (*stopping) Start(context.Context) error { return nil }
func (s *stopping) Reload(settings.Settings)  { s.reloads++ }
func (s *stopping) Stop(context.Context) error {
	close(s.begun)
	<-s.letGo
	return nil
}

// TestSignalsDuringAStop holds that signals which come while a node stops neither end the process nor change anything, and are told of.
func TestSignalsDuringAStop(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	must.NoError(t, err)
	n := &stopping{begun: make(chan struct{}), letGo: make(chan struct{})}
	signals := make(chan os.Signal)
	r := &runner{node: n, path: "none", log: log, signals: signals}
	ended := make(chan error)
	go func() {
		r.untilStopped(t.Context())
		ended <- r.stop(t.Context())
	}()
	signals <- syscall.SIGHUP // the settings cannot be read, and the node goes on
	signals <- syscall.SIGTERM
	<-n.begun
	signals <- syscall.SIGTERM
	signals <- syscall.SIGHUP
	signals <- os.Interrupt
	close(n.letGo)
	must.NoError(t, <-ended)
	must.EqOp(t, 0, n.reloads)
	for _, line := range []string{
		"settings_refused", `signal=hangup stopping=false`, `signal=terminated stopping=false`,
		`signal=terminated stopping=true`, `signal=hangup stopping=true`, `signal=interrupt stopping=true`,
	} {
		must.StrContains(t, out.String(), line)
	}
}
