package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// TestStalledReaderDelaysTheExit stops a node whose standard output nobody reads, while the rest of a call's body does not come. The node waited
// for the reader of its log after its grace was over, and without end for the reader of its spans.
func TestStalledReaderDelaysTheExit(t *testing.T) {
	const grace = 2 * time.Second
	for name, trace := range map[string]string{"log": "", "spans": "[trace]\noutput = stdout\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := platformtest.NewStore()
			t.Cleanup(store.Close)
			store.Configure(1, "stall.example", "key", platformtest.Route{Name: "buy", Kind: platformtest.Once, Service: "shop", Attempts: 1})
			readiness, err := freeLoopbackAddress()
			must.NoError(t, err)
			listen, err := freeLoopbackAddress()
			must.NoError(t, err)
			path := filepath.Join(t.TempDir(), "node.ini")
			text := renderDeployedSettings(t, store.Address(), listen, readiness, "127.0.0.1:0")
			text = strings.Replace(text, "grace = 8s", fmt.Sprint("grace = ", grace), 1) + trace
			must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), nodeSettingsVar+"="+path, "GORACE=atexit_sleep_ms=0") // the race detector delays an exit with status 0 by a second
			cmd.Stdout, cmd.Stderr = fullPipe(t), os.Stderr
			must.NoError(t, cmd.Start())
			t.Cleanup(func() { _ = cmd.Process.Kill() })
			waitReady(t, "http://"+readiness+"/readyz")
			sendCall(t, listen, "whole", "whole") // leaves a span
			sendCall(t, listen, "half", "ha")
			began, ended := time.Now(), make(chan struct{})
			must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			go func() {
				defer close(ended)
				_ = cmd.Wait()
			}()
			select {
			case <-ended:
				must.LessEq(t, grace+endSlack, time.Since(began))
			case <-time.After(2 * grace):
				must.Unreachable(t, must.Sprint("the process did not end"))
			}
		})
	}
}

// sendCall sends a call whose body should have five bytes, and keeps its connection open.
func sendCall(t *testing.T, listen, id, body string) {
	conn, err := net.Dial("tcp", listen)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	call := platformtest.Call{ID: id, Key: "key", Wait: time.Minute}
	var head bytes.Buffer
	must.NoError(t, call.Header().Write(&head))
	_, err = fmt.Fprintf(conn, "POST /buy/x HTTP/1.1\r\nHost: stall.example\r\n%sContent-Length: 5\r\n\r\n%s", &head, body)
	must.NoError(t, err)
}

// fullPipe returns the writing end of a pipe that is full and that nobody reads.
func fullPipe(t *testing.T) *os.File {
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	must.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for err == nil {
		_, err = writer.Write(make([]byte, 4096))
	}
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	return writer
}
