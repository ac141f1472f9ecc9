package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
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

// TestNodeResumedAfterGraceAnswersCallers freezes a stopping node until its grace has passed, while an engine hangs. When the node
// resumes, it must still answer the waiting callers instead of closing their connections.
func TestNodeResumedAfterGraceAnswersCallers(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	engine := platformtest.NewEngine("s1", "shop", "a")
	t.Cleanup(engine.Close)
	engine.SpoilAll(platformtest.Fault{Hang: true})
	store.ListEngine(engine, false)
	store.Configure(1, "stall.example", "key", platformtest.Route{Name: "buy", Kind: platformtest.Once, Service: "shop", Attempts: 1})
	readiness, listen := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	text := renderDeployedSettings(t, store.Address(), listen, readiness, "127.0.0.1:0")
	text = strings.Replace(text, "grace = 8s", "grace = 3s", 1)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), nodeSettingsVar+"="+path)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	must.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	waitReady(t, "http://"+readiness+"/readyz")
	time.Sleep(time.Second)
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(500 * time.Millisecond) // the call's own timeout is 8 s, so that it does not expire before the node resumes
	const calls = 40
	conns := make([]net.Conn, calls)
	for i := range conns {
		conn, err := net.Dial("tcp", listen)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		call := platformtest.Call{ID: fmt.Sprintf("call-%d", i), Key: "key", Wait: time.Minute}
		var head bytes.Buffer
		must.NoError(t, call.Header().Write(&head))
		_, err = fmt.Fprintf(conn, "POST /buy/x HTTP/1.1\r\nHost: stall.example\r\n%sContent-Length: 1\r\n\r\nb", &head)
		must.NoError(t, err)
		conns[i] = conn
	}
	for began := time.Now(); len(engine.Runs()) < calls; time.Sleep(10 * time.Millisecond) {
		must.Less(t, 2*time.Second, time.Since(began))
	}
	must.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(3500 * time.Millisecond) // the grace is 3 s
	must.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	unanswered := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			unanswered++
		}
	}
	must.Zero(t, unanswered, must.Sprintf("%d of %d calls ran, but their connections were closed without an answer", unanswered, calls))
}
