package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// rawHeldCaller is a caller who holds back the body of a stream.
type rawHeldCaller struct {
	rest  time.Duration // after the stop was asked for; 0 for never
	conn  net.Conn
	reply *http.Response
	text  string
	err   error
}

const heldHost, heldKey = "stall.example", "key"

// sendHead sends the head and a part of the body.
func (c *rawHeldCaller) sendHead(t *testing.T, address, id string) {
	conn, err := net.Dial("tcp", address) //nolint:noctx // nothing to cancel
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(maxWait)))
	const body = "a body"
	call := platformtest.Call{ID: id, Key: heldKey, Stream: true, Prompt: fmt.Sprintf("%x", id), Wait: 18 * time.Second, Host: heldHost, Path: "/tell/x", Body: body}
	req, err := call.Request(t.Context(), address)
	must.NoError(t, err)
	var text strings.Builder
	must.NoError(t, req.Write(&text))
	_, err = io.WriteString(conn, strings.TrimSuffix(text.String(), body[len("a "):]))
	must.NoError(t, err)
	c.conn = conn
}

// play sends the rest of the body at its time, and reads the answer.
func (c *rawHeldCaller) play(stop time.Time) {
	if c.rest > 0 {
		time.AfterFunc(time.Until(stop.Add(c.rest)), func() { _, _ = io.WriteString(c.conn, "body") })
	}
	if c.reply, c.err = http.ReadResponse(bufio.NewReader(c.conn), nil); c.err != nil {
		return
	}
	text, err := io.ReadAll(c.reply.Body)
	_ = c.reply.Body.Close()
	c.text, c.err = string(text), err
	_ = c.conn.Close()
}

// Guards against other answers to held bodies, and against another end of the process, because further signals arrive while the node stops. The settings are
// those of the deployment.
func TestHeldBodiesBesideFurtherSignals(t *testing.T) {
	store, engine := platformtest.NewStore(), platformtest.NewEngine("e1", "lm", "a")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.Configure(1, heldHost, heldKey, platformtest.Route{Name: "tell", Kind: platformtest.Streaming, Service: "lm", Attempts: 2, Timeout: 20 * time.Second})
	store.Put("servers", engine.ID, engine.Row("ready"))
	listen, readiness := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	text := renderDeployedSettings(t, store.Address(), listen, readiness, "127.0.0.1:0")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	ended := make(chan error, 1)
	sigs := catchForTest(t)
	go func() { ended <- command(sigs).Run(t.Context(), []string{"vaneyoked", "--config", path}) }()
	waitReady(t, "http://"+readiness+"/readyz")
	early, late, never := &rawHeldCaller{rest: 1200 * time.Millisecond}, &rawHeldCaller{rest: 4500 * time.Millisecond}, &rawHeldCaller{}
	callers := []*rawHeldCaller{early, late, never}
	for i, c := range callers {
		c.sendHead(t, listen, fmt.Sprint("held-", i))
	}
	time.Sleep(300 * time.Millisecond) // there is no sign that the node has read the heads
	stop := time.Now()
	done := make(chan struct{}, len(callers))
	for _, c := range callers {
		go func() { c.play(stop); done <- struct{}{} }()
	}
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		time.Sleep(200 * time.Millisecond)
		must.NoError(t, os.WriteFile(path, []byte(strings.Replace(text, "8s", "1s", 1)), 0o600))
		must.NoError(t, syscall.Kill(os.Getpid(), signal))
	}
	for range callers {
		<-done
	}
	must.NoError(t, early.err)
	must.EqOp(t, http.StatusOK, early.reply.StatusCode, must.Sprint(early.text))
	must.EqOp(t, platformtest.StreamText(0), early.text)
	for _, c := range []*rawHeldCaller{late, never} {
		must.NoError(t, c.err)
		must.EqOp(t, http.StatusServiceUnavailable, c.reply.StatusCode, must.Sprint(c.text))
		must.NotEqOp(t, "", c.reply.Header.Get("Retry-After"))
	}
	must.Len(t, 1, engine.Runs())
	must.NoError(t, <-ended)
}
