package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// requestLine begins a request whose header does not end.
const requestLine = "POST /look/x HTTP/1.1\r\nHost: " + soakHost + "\r\n"

// requestHead is the head of a request that is inside the limits, without the fields of its body and the empty line.
func requestHead() string {
	var head bytes.Buffer
	head.WriteString(requestLine)
	_ = platformtest.Call{ID: "crowd", Key: soakKey}.Header().Write(&head)
	return head.String()
}

// sendAndWait returns what a caller does that sends some bytes and then waits until the node closes the connection.
func sendAndWait(text string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, text); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// sendWithoutEnd returns what a caller does that sends some bytes, and then others again and again, without reading.
func sendWithoutEnd(first, again string) func(net.Conn) {
	piece := strings.Repeat(again, 1+(16<<10)/len(again))
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, first)
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
	}
}

// shortLines is a header of 11,000 lines, 55,000 bytes.
func shortLines() string { return strings.Repeat("a:b\r\n", 11_000) }

// TestCrowdOfShortHeaderLines: each line takes more memory than its length once it is parsed.
func TestCrowdOfShortHeaderLines(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 400, sendAndWait(requestLine + shortLines())})
}

// TestCrowdOfShortHeadersOfManyLines: each is inside the limits, and the crowd is not.
func TestCrowdOfShortHeadersOfManyLines(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 1000, sendAndWait(requestLine + strings.Repeat("a:b\r\n", 3000))})
}

// TestCrowdOfLongHeaderLines: a line that is not complete is kept as it is.
func TestCrowdOfLongHeaderLines(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 1000, sendAndWait(requestLine + "a: " + strings.Repeat("b", 60_000))})
}

// TestCrowdOfLinesWithoutEnd: neither a line nor the header ends.
func TestCrowdOfLinesWithoutEnd(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 400, sendWithoutEnd(requestLine+"a: ", "b")}, crowd{"callers", 400, sendWithoutEnd(requestLine, "a: b\r\n")}, crowd{"callers", 100, sendWithoutEnd("", "a")})
}

// TestCrowdOfEmptyLines: they come before a request that does not.
func TestCrowdOfEmptyLines(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 1000, sendWithoutEnd("", "\r\n")})
}

// TestCrowdOfEmptyLinesBetweenRequests: they come after a request that was answered.
func TestCrowdOfEmptyLinesBetweenRequests(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 600, sendWithoutEnd(requestHead()+"Content-Length: 0\r\n\r\n", "\r\n")})
}

// TestCrowdOfSilentConnections: nothing comes on them.
func TestCrowdOfSilentConnections(t *testing.T) {
	c, _ := newCrowdedNode(t, crowdDescriptors)
	c.endure(crowd{"callers", 600, sendAndWait("")})
}

// TestCrowdOfIdleConnections: each has had an answer, and stays.
func TestCrowdOfIdleConnections(t *testing.T) {
	c, _ := newCrowdedNode(t, crowdDescriptors)
	c.endure(crowd{"callers", 600, sendAndWait(requestHead() + "Content-Length: 0\r\n\r\n")})
}

// TestCrowdOfSilentConnectionsAtOtherListeners: they take the descriptors that callers need.
func TestCrowdOfSilentConnectionsAtOtherListeners(t *testing.T) {
	c, _ := newCrowdedNode(t, crowdDescriptors)
	c.endure(crowd{"readiness", 300, sendAndWait("")}, crowd{"admin", 300, sendAndWait("")}, crowd{"peers", 300, sendAndWait("")})
	waitReady(t, c.node.readyURL())
}

// TestCrowdOfUnreadAnswers: whole requests follow one another on connections whose answers nobody reads.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	c, s := newCrowdedNode(t, noLimit)
	for _, e := range s.engines {
		e.SpoilAll(platformtest.Fault{BodyBytes: 16 << 10})
	}
	request := requestHead() + "Content-Length: 0\r\n\r\n"
	c.endure(crowd{"callers", 600, sendWithoutEnd(request, request)})
}

// waitingBody is a request of which three quarters of a large body come.
func waitingBody() string {
	const bodyBytes = 4 << 20
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead(), bodyBytes, strings.Repeat("x", bodyBytes*3/4))
}

// TestCrowdOfWaitingBodies: bodies inside the limits of which the rest does not come.
func TestCrowdOfWaitingBodies(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{"callers", 500, sendAndWait(waitingBody())})
}

// TestCrowdOfWaitingChunks: the same without a length.
func TestCrowdOfWaitingChunks(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	piece := fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))
	c.endure(crowd{"callers", 500, sendAndWait(requestHead() + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(piece, 180))})
}

// TestCrowdOfWaitingBodiesAndFewDescriptors: bytes also wait on connections that the node has not accepted.
func TestCrowdOfWaitingBodiesAndFewDescriptors(t *testing.T) {
	c, _ := newCrowdedNode(t, crowdDescriptors)
	c.endure(crowd{"callers", 1000, sendAndWait(waitingBody())})
}

// TestCrowdOfChunkExtensions: what stands beside a chunk's length does not end.
func TestCrowdOfChunkExtensions(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	head := requestHead() + "Transfer-Encoding: chunked\r\n\r\n"
	c.endure(crowd{"callers", 300, sendWithoutEnd(head+"1;", "a=b;")}, crowd{"callers", 300, sendWithoutEnd(head, "1;"+strings.Repeat("a", 2000)+"\r\nx\r\n")})
}

// TestCrowdOfTrailers: the lines after the last chunk do not end.
func TestCrowdOfTrailers(t *testing.T) {
	c, _ := newCrowdedNode(t, noLimit)
	head := requestHead() + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
	c.endure(crowd{"callers", 300, sendWithoutEnd(head, "a:b\r\n")}, crowd{"callers", 300, sendAndWait(head + strings.Repeat("a:b\r\n", 11_000))})
}

// TestCrowdOfResets: connections are reset as soon as they are open, or within a header.
func TestCrowdOfResets(t *testing.T) {
	c, _ := newCrowdedNode(t, crowdDescriptors)
	reset := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = io.WriteString(conn, text)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	c.endure(crowd{"callers", 300, reset("")}, crowd{"callers", 300, reset(requestLine + shortLines())})
}

// TestStopBesideACrowd: connections that wait do not keep a stopping node beyond its grace.
func TestStopBesideACrowd(t *testing.T) {
	c, _ := newCrowdedNode(t, crowdDescriptors, stopSettings...)
	crowds := []crowd{
		{"callers", 200, sendAndWait(requestLine + shortLines())}, {"callers", 200, sendAndWait("")}, {"callers", 200, sendAndWait(waitingBody())},
		{"peers", 100, sendAndWait(requestLine)}, {"readiness", 100, sendAndWait(requestLine)},
	}
	c.beside(crowds, func() {
		stopped := time.Now()
		c.node.signal(syscall.SIGTERM)
		<-c.node.process.ended
		must.LessEq(t, stopGrace+endSlack, c.node.process.endedAt.Sub(stopped))
	})
}

// TestCrowdAtReadiness: whoever asks whether the node is ready needs a small header only.
func TestCrowdAtReadiness(t *testing.T) { endureAt(t, "readiness") }

// TestCrowdAtMetrics: so does whoever reads metrics.
func TestCrowdAtMetrics(t *testing.T) { endureAt(t, "admin") }

// TestCrowdAtPeers: so do other nodes.
func TestCrowdAtPeers(t *testing.T) { endureAt(t, "peers") }

func endureAt(t *testing.T, listener string) {
	c, _ := newCrowdedNode(t, noLimit)
	c.endure(crowd{listener, 300, sendAndWait(requestLine + shortLines())}, crowd{listener, 300, sendWithoutEnd(requestLine, "a: b\r\n")})
	waitReady(t, c.node.readyURL())
}

// TestCrowdAtTheCallerAPI: a node of the other kind has no bounds of its own.
func TestCrowdAtTheCallerAPI(t *testing.T) {
	c := newCrowdedAPINode(t)
	c.endure(crowd{"callers", 300, sendAndWait(requestLine + shortLines())}, crowd{"callers", 200, sendWithoutEnd(requestLine, "a: b\r\n")})
}

// TestCrowdAtTheListenersBesideTheCallerAPI: nor for operators and other nodes.
func TestCrowdAtTheListenersBesideTheCallerAPI(t *testing.T) {
	c := newCrowdedAPINode(t)
	c.endure(crowd{"admin", 200, sendAndWait(requestLine + shortLines())}, crowd{"peers", 200, sendAndWait(requestLine + shortLines())})
}
