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
	dialPatience = time.Second
	answerSlack  = 2 * time.Second        // past the deadline, in which an answer is still read
	bodyPause    = 200 * time.Millisecond // longest pause within a body
	thinkTime    = 60 * time.Millisecond  // longest pause between two requests
	stays        = 10                     // connections in a row to one node, on the average
	leastWait    = 1500 * time.Millisecond
	mostWait     = 4 * time.Second
)

// attempt is one request as its caller saw it.
type attempt struct {
	id, path   string
	body       string
	node       *soakNode
	wait       time.Duration // for which the caller says that it waits
	begun      time.Time
	written    time.Time // of the last byte; zero where the request could not be written whole
	ended      time.Time
	afterClose bool // whether the answer before it on the connection said that it would be closed
	status     int  // 0 for no answer
	signed     string
	answerID   string
	text       string
	stray      int   // bytes past the answer
	err        error // why the answer is not whole; nil where it is
}

func (a *attempt) stream() bool { return strings.HasPrefix(a.path, "/tell/") }

func (a *attempt) span() span { return span{a.begun, a.ended} }

// rawCaller writes its requests itself, and goes on using a connection as long as it is open.
type rawCaller struct {
	soak  *soak
	rng   *rand.Rand
	keeps bool // whether it uses a connection more than once
	heeds bool // whether it hangs up when it is told that the connection will be closed
	conn  net.Conn
	in    *bufio.Reader
	node  *soakNode
	told  bool // whether the connection's last answer said that it would be closed
	done  []*attempt
}

// run makes requests until ctx ends.
func (c *rawCaller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			time.Sleep(thinkTime / 2)
			continue
		}
		if open := c.request(); !open || !c.keeps {
			c.hangUp()
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(thinkTime))))
	}
}

func (c *rawCaller) dial(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialPatience}
	if c.node == nil || c.rng.IntN(stays) == 0 {
		c.node = c.soak.node(c.rng)
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.node.listen)
	if err != nil {
		c.node = nil
		return false
	}
	c.conn, c.in, c.told = conn, bufio.NewReader(conn), false
	return true
}

func (c *rawCaller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request makes one request, and says whether its connection may be used again.
func (c *rawCaller) request() (open bool) {
	a := c.next()
	a.begun = time.Now()
	_ = c.conn.SetDeadline(a.begun.Add(a.wait + answerSlack))
	if c.write(a) {
		a.written = time.Now()
	}
	closes := c.read(a)
	a.ended = time.Now()
	c.done = append(c.done, a)
	if a.err != nil || (closes && (c.heeds || c.told)) {
		return false
	}
	c.told = closes
	if a.status == http.StatusOK {
		c.soak.served.Add(1)
	}
	return true
}

func (c *rawCaller) next() *attempt {
	id := fmt.Sprintf("call-%08d", c.soak.ids.Add(1))
	return &attempt{
		id: id, path: []string{"/look/x", "/buy/x", "/tell/x"}[c.rng.IntN(3)], body: "body of " + id, node: c.node,
		wait: leastWait + time.Duration(c.rng.Int64N(int64(mostWait-leastWait))), afterClose: c.told,
	}
}

// write sends a request in one or more pieces, and says whether all of it was sent.
func (c *rawCaller) write(a *attempt) bool {
	pieces := c.pieces(a)
	for i, piece := range pieces {
		if i > 0 && c.rng.IntN(4) > 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(bodyPause))))
		}
		if _, err := c.conn.Write(piece); err != nil {
			return false
		}
	}
	return true
}

// pieces returns a request as it is written: whole, with its body in two halves, or with one in chunks.
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

// read takes in the answer, and says whether the node will close the connection.
func (c *rawCaller) read(a *attempt) (closes bool) {
	res, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return true
	}
	a.status, a.signed, a.answerID = res.StatusCode, platformtest.SignedBy(res), platformtest.AnswerTo(res)
	text, err := io.ReadAll(res.Body)
	a.text, a.err = string(text), err
	a.stray = c.in.Buffered()
	return res.Close
}
