package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// unreadBytes are the lengths of answers of which a caller reads only the head before its node has ended.
var unreadBytes = []int{16 << 10, 64 << 10, 128 << 10, 256 << 10, 320 << 10, 384 << 10, 512 << 10, 768 << 10, 1 << 20}

// maxSystemBytes is the longest of them that the system has to keep for a caller who has a small buffer of its own.
const maxSystemBytes = 128 << 10

// unreadAnswer is an answer that its caller reads late.
type unreadAnswer struct {
	id     string
	length int
	conn   *net.TCPConn
	body   io.Reader
}

// Guards against answers that a stop cuts although their rest fits into the buffers of the system, which goes on sending after the process has ended.
func TestSoakUnreadAnswersOutliveTheirNode(t *testing.T) {
	s := newHeldSoakOf(t, presentBuild, 1)
	for _, e := range s.live {
		e.SpoilBy(func(_, body string) platformtest.Fault {
			var length int
			_, _ = fmt.Sscan(body, &length)
			return platformtest.Fault{Events: eventsOf(length / heldEvents)}
		})
	}
	n := s.allNodes()[0]
	var answers []*unreadAnswer
	for _, length := range unreadBytes {
		answers = append(answers, s.askWithoutReading(n, length))
	}
	s.waitUntilRun(len(answers))
	from := time.Now()
	n.signal(syscall.SIGTERM)
	<-n.process.ended
	t.Logf("the node ended %v after SIGTERM", time.Since(from))
	logs := s.readLogs()
	for _, a := range answers {
		must.NoError(t, a.conn.SetReadBuffer(1<<20)) // so that the rest does not come in pieces of the small one
		text, err := io.ReadAll(a.body)
		_ = a.conn.Close()
		t.Logf("%8d bytes unread: %d read, %v\n%s", a.length, len(text), err, strings.Join(logs.lines[a.id], ""))
		if a.length <= max(maxSystemBytes, systemWriteBuffer(t)) {
			must.NoError(t, err)
			must.EqOp(t, platformtest.Text(eventsOf(a.length/heldEvents)), string(text))
		}
	}
}

// systemWriteBuffer returns the largest send buffer that a process may ask for.
func systemWriteBuffer(t *testing.T) int {
	text, err := os.ReadFile("/proc/sys/net/core/wmem_max")
	must.NoError(t, err)
	bytes, err := strconv.Atoi(strings.TrimSpace(string(text)))
	must.NoError(t, err)
	return bytes
}

// askWithoutReading requests a stream of a length, and reads only the head of its answer.
func (s *heldSoak) askWithoutReading(n *soakNode, length int) *unreadAnswer {
	a := &unreadAnswer{id: fmt.Sprintf("call-%08d", s.ids.Add(1)), length: length}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(s.t.Context(), "tcp", n.listen)
	must.NoError(s.t, err)
	a.conn = conn.(*net.TCPConn)
	must.NoError(s.t, a.conn.SetReadBuffer(slowSocketBytes))
	must.NoError(s.t, conn.SetDeadline(time.Now().Add(maxHeldWait)))
	call := platformtest.Call{ID: a.id, Key: soakKey, Stream: true, Prompt: fmt.Sprintf("%x", length), Wait: maxHeldWait, Host: soakHost, Path: "/tell/x", Body: fmt.Sprint(length)}
	req, err := call.Request(context.Background(), n.listen)
	must.NoError(s.t, err)
	must.NoError(s.t, req.Write(conn))
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	must.NoError(s.t, err)
	must.EqOp(s.t, http.StatusOK, res.StatusCode)
	a.body = res.Body
	return a
}

// waitUntilRun waits until engines have begun a number of streams and ended all of them.
func (s *heldSoak) waitUntilRun(count int) {
	for start := time.Now(); ; time.Sleep(resumePause) {
		ended := 0
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				if _, hasEnded := run.EndedAt(); hasEnded {
					ended++
				}
			}
		}
		if ended >= count {
			return
		}
		must.Less(s.t, maxWait, time.Since(start))
	}
}
