package serve_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
)

// end is how an answer ends for a caller that goes by the bytes on its connection.
type end string

const (
	endWhole  end = "whole"           // by its length, its last chunk or a close that nothing contradicts
	endCut    end = "cut off"         // it is shorter than its length or lacks its last chunk
	endReset  end = "reset"           // the connection was reset, where only its end marks that of the answer
	endAbsent end = "without a head"  // the connection ended before the head did
	endOpen   end = "connection open" // nothing came for a while
)

// readEnd reads an answer until its connection ends, and returns its body.
func readEnd(conn net.Conn, reader io.Reader) (string, end) {
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	raw, err := io.ReadAll(reader)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return string(raw), endOpen
	}
	res, headErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if headErr != nil {
		return "", endAbsent
	}
	body, bodyErr := io.ReadAll(res.Body)
	_ = res.Body.Close()
	switch {
	case bodyErr != nil:
		return string(body), endCut
	case res.ContentLength < 0 && len(res.TransferEncoding) == 0 && errors.Is(err, syscall.ECONNRESET):
		return string(body), endReset
	default:
		return string(body), endWhole
	}
}

// askers are requests of callers that differ in how the end of an answer is marked for them; PATH stands for the path.
var askers = map[string]string{
	"1.1":            "POST PATH HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
	"1.1, closes":    "POST PATH HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
	"1.1, pipelined": "POST PATH HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbodyPOST PATH HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
	"1.0":            "POST PATH HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody",
	"1.0, keeps":     "POST PATH HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody",
}

// longPart fills all buffers of package http.
var longPart = strings.Repeat("x", 10_000)

// endsHandler answers in parts and then ends as the path of the request says. It tells reached when it waits for the server to be closed.
func endsHandler(reached chan<- struct{}) http.Handler {
	mux := http.NewServeMux()
	breaks := map[string]func(w http.ResponseWriter, r *http.Request){
		"interrupted": func(http.ResponseWriter, *http.Request) {
			panic(serve.AbortError{Cause: serve.AbortInterrupted, Code: vaneyoke.CodeInterrupted})
		},
		"panics": func(http.ResponseWriter, *http.Request) { panic("midway") },
		"aborts": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"closed": func(_ http.ResponseWriter, r *http.Request) {
			reached <- struct{}{}
			<-r.Context().Done()
		},
		"unread":  func(w http.ResponseWriter, _ *http.Request) { panic(writeUntilRefused(w)) },
		"ignored": func(w http.ResponseWriter, _ *http.Request) { _ = writeUntilRefused(w); reached <- struct{}{} },
		"whole":   func(http.ResponseWriter, *http.Request) {},
	}
	begins := map[string]func(w http.ResponseWriter){
		"stream": func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "first part")
			_ = http.NewResponseController(w).Flush()
		},
		"long":  func(w http.ResponseWriter) { _, _ = io.WriteString(w, longPart) },
		"none":  func(http.ResponseWriter) {},
		"short": func(w http.ResponseWriter) { _, _ = io.WriteString(w, "short") },
		"exact": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", strconv.Itoa(len(longPart)))
			_, _ = io.WriteString(w, longPart)
		},
		"length": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", strconv.Itoa(len(longPart)<<20))
			_, _ = io.WriteString(w, longPart)
		},
	}
	for begin, start := range begins {
		for name, stop := range breaks {
			mux.HandleFunc("/"+begin+"/"+name, func(w http.ResponseWriter, r *http.Request) {
				start(w)
				stop(w, r)
			})
		}
	}
	return mux
}

// writeUntilRefused writes until the caller, which does not read, takes no more.
func writeUntilRefused(w http.ResponseWriter) serve.AbortError {
	control := http.NewResponseController(w)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := io.WriteString(w, longPart); err != nil {
			return serve.AbortError{Cause: serve.AbortWriteFailed, Err: err}
		}
	}
}

// Guards against a broken answer that looks complete to its caller, whichever way the end of an answer is marked for it.
func TestBrokenAnswerLooksComplete(t *testing.T) {
	for asker, request := range askers {
		for _, begin := range []string{"stream", "long", "length", "short"} {
			for _, broken := range []string{"interrupted", "panics", "aborts", "closed", "unread", "ignored"} {
				t.Run(asker+", "+begin+", "+broken, func(t *testing.T) {
					t.Parallel()
					reached := make(chan struct{}, 2)
					server := &testServer{Server: serve.New(endsHandler(reached), serve.Config{
						WriteBufferBytes: 64 << 10, OnPanic: func(serve.Panic) {}, OnAbort: func(serve.Abort) { reached <- struct{}{} },
					})}
					server.listen(t)
					conn := server.dial(t)
					write(t, conn, strings.ReplaceAll(request, "PATH", "/"+begin+"/"+broken))
					<-reached
					if broken == "closed" {
						must.NoError(t, server.Close())
					}
					_, got := readEnd(conn, conn)
					must.SliceContains(t, []end{endCut, endReset, endAbsent}, got)
				})
			}
		}
	}
}

// Guards against a whole answer that looks broken to its caller.
func TestWholeAnswerLooksBroken(t *testing.T) {
	for asker, request := range askers {
		for path, body := range map[string]string{
			"/stream/whole": "first part", "/long/whole": longPart, "/exact/whole": longPart, "/short/whole": "short",
			"/none/whole": "", "/none/panics": vaneyoke.CodeInternal.Info().Text + "\n",
		} {
			t.Run(asker+", "+path, func(t *testing.T) {
				t.Parallel()
				server := &testServer{Server: serve.New(endsHandler(nil), serve.Config{IdleTimeout: 100 * time.Millisecond})}
				server.listen(t)
				conn := server.dial(t)
				write(t, conn, strings.ReplaceAll(request, "PATH", path))
				got, ended := readEnd(conn, conn)
				must.EqOp(t, endWhole, ended)
				must.EqOp(t, body, got)
			})
		}
	}
}

// TestAnswerWithoutABodyIsReset checks that the answer to a caller who knows no chunks ends plainly where it has no body.
func TestAnswerWithoutABodyIsReset(t *testing.T) {
	server := &testServer{Server: serve.New(http.NotFoundHandler(), serve.Config{})}
	server.listen(t)
	conn := server.dial(t)
	write(t, conn, "HEAD / HTTP/1.0\r\n\r\n")
	head, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrHasSuffix(t, "\r\n\r\n", string(head))
}
