package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	dialTimeout  = time.Second
	readSlack    = 2 * time.Second        // past the deadline, for which an answer is still read
	maxBodyPause = 200 * time.Millisecond // longest pause within a body
	maxThinkTime = 60 * time.Millisecond  // longest pause between two requests
	connsPerNode = 10                     // mean number of consecutive connections to one node
	minCallWait  = 1500 * time.Millisecond
	maxCallWait  = 4 * time.Second
)

// attempt is one request as its caller saw it.
type attempt struct {
	id, path   string
	body       string
	node       *soakNode
	wait       time.Duration // maximum wait that the caller states in the request
	began      time.Time
	written    time.Time // of the last byte; zero if the request could not be written completely
	ended      time.Time
	afterClose bool // whether the previous answer on the connection announced that it would be closed
	status     int  // 0 without an answer
	signedBy   string
	answerID   string
	text       string
	wantText   string // of a stream; "" for that of the engines' own events
	strayBytes int    // number of bytes after the end of the answer
	err        error  // why the answer is incomplete; nil if it is complete
}

func (a *attempt) stream() bool { return strings.HasPrefix(a.path, "/tell/") }

func (a *attempt) span() span { return span{a.began, a.ended} }

// rawCaller writes HTTP/1.1 requests to the connection itself, and may keep using a connection as long as it is open.
type rawCaller struct {
	soak           *soak
	rng            *rand.Rand
	keepsAlive     bool // whether it reuses connections
	heedsClose     bool // whether it closes a connection after an answer with Connection: close
	minWait        time.Duration
	maxWait        time.Duration
	conn           net.Conn
	in             *bufio.Reader
	node           *soakNode
	closeAnnounced bool // whether the last answer on the connection announced that it would be closed
	attempts       []*attempt
}

// run sends requests until ctx ends.
func (c *rawCaller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			time.Sleep(maxThinkTime / 2)
			continue
		}
		if open := c.request(); !open || !c.keepsAlive {
			c.hangUp()
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxThinkTime))))
	}
}

func (c *rawCaller) dial(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.node == nil || c.rng.IntN(connsPerNode) == 0 {
		c.node = c.soak.randomNode(c.rng)
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.node.listen)
	if err != nil {
		c.node = nil
		return false
	}
	c.conn, c.in, c.closeAnnounced = conn, bufio.NewReader(conn), false
	return true
}

func (c *rawCaller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and reads its answer. It reports whether the connection may be used again.
func (c *rawCaller) request() (open bool) {
	a := c.newAttempt()
	a.began = time.Now()
	_ = c.conn.SetDeadline(a.began.Add(a.wait + readSlack))
	if c.write(a) {
		a.written = time.Now()
	}
	closes := c.read(a)
	a.ended = time.Now()
	c.attempts = append(c.attempts, a)
	if a.err != nil || (closes && (c.heedsClose || c.closeAnnounced)) {
		return false
	}
	c.closeAnnounced = closes
	if a.status == http.StatusOK {
		c.soak.served.Add(1)
	}
	return true
}

func (c *rawCaller) newAttempt() *attempt {
	id := fmt.Sprintf("call-%08d", c.soak.ids.Add(1))
	return &attempt{
		id: id, path: []string{"/look/x", "/buy/x", "/tell/x"}[c.rng.IntN(3)], body: "body of " + id, node: c.node,
		wait: c.minWait + time.Duration(c.rng.Int64N(int64(c.maxWait-c.minWait))), afterClose: c.closeAnnounced,
	}
}

// write sends a request in one or more pieces, and reports whether all of it was sent.
func (c *rawCaller) write(a *attempt) bool {
	pieces := c.pieces(a)
	for i, piece := range pieces {
		if i > 0 && c.rng.IntN(4) > 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(maxBodyPause))))
		}
		if _, err := c.conn.Write(piece); err != nil {
			return false
		}
	}
	return true
}

// pieces returns the parts in which a request is written: in one, in two with half of the body each, or in two with a chunked body.
func (c *rawCaller) pieces(a *attempt) [][]byte {
	var head bytes.Buffer
	call := platformtest.Call{ID: a.id, Key: soakKey, Stream: a.stream(), Prompt: fmt.Sprintf("%x", c.rng.Uint32()), Wait: a.wait}
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", a.path, soakHost)
	_ = call.Header().Write(&head)
	half := len(a.body) / 2
	first, second := a.body[:half], a.body[half:]
	switch c.rng.IntN(6) {
	case 0:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(a.body), first)
		return [][]byte{head.Bytes(), []byte(second)}
	case 1:
		fmt.Fprintf(&head, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(first), first)
		return [][]byte{head.Bytes(), fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", len(second), second)}
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
		return [][]byte{head.Bytes()}
	}
}

// read reads the answer, and reports whether the node will close the connection.
func (c *rawCaller) read(a *attempt) (closes bool) {
	res, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return true
	}
	a.status, a.signedBy, a.answerID = res.StatusCode, platformtest.SignedBy(res), platformtest.AttemptIDOf(res)
	text, err := io.ReadAll(res.Body)
	a.text, a.err = string(text), err
	a.strayBytes = c.in.Buffered()
	return res.Close
}
