package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// TestNodeSurvivesClosedLogPipe closes the reading end of a node's log. The node must keep serving, discard further lines,
// and stop gracefully.
func TestNodeSurvivesClosedLogPipe(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Configure(1, "stall.example", "key")
	readiness := freeAddress(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	text := renderDeployedSettings(t, store.Address(), "127.0.0.1:0", readiness, "127.0.0.1:0")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), nodeSettingsVar+"="+path)
	cmd.Stdout = writer
	must.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	must.NoError(t, writer.Close())
	waitReady(t, "http://"+readiness+"/readyz")
	must.NoError(t, reader.Close())
	for range 5 { // each SIGHUP writes log lines
		must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(20 * time.Millisecond)
		waitReady(t, "http://"+readiness+"/readyz")
	}
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	must.NoError(t, cmd.Wait())
}
