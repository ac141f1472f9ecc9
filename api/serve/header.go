package serve

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke/decide/intake"
)

const (
	// lineOverhead is the memory that a line of a header takes beside its text: its entries in the header and in the copy that is sent on.
	lineOverhead = 256
	// smallHeaderBytes is the memory of a header that is part of what each connection is accounted for.
	smallHeaderBytes = 8 << 10
)

// headerMeter measures the header of a request while it arrives. The bytes that follow it are not measured.
type headerMeter struct {
	lineBytes int  // of the current line
	isCRLast  bool // whether the last of them is a carriage return
	bytes     int  // of the lines after the request line
	first     int  // bytes of the request line, and of empty lines before it
	lines     int
	ended     bool
}

// add measures bytes that were received. An empty line ends the header unless the request line is yet to come.
func (m *headerMeter) add(p []byte) {
	for len(p) > 0 && !m.ended {
		end := bytes.IndexByte(p, '\n')
		n := end + 1
		if end < 0 {
			n = len(p)
		}
		if m.isFirstLine() {
			m.first += n
		} else {
			m.bytes += n
		}
		if text := bytes.TrimSuffix(p[:n], []byte{'\n'}); len(text) > 0 {
			m.lineBytes += len(text)
			m.isCRLast = text[len(text)-1] == '\r'
		}
		p = p[n:]
		if end < 0 {
			return
		}
		m.endLine()
	}
}

// endLine records that a line has ended.
func (m *headerMeter) endLine() {
	isEmpty := m.lineBytes == 0 || m.lineBytes == 1 && m.isCRLast
	m.ended = isEmpty && m.lines > 0
	if !isEmpty {
		m.lines++
	}
	m.lineBytes, m.isCRLast = 0, false
}

// isFirstLine reports whether the request line has not ended yet.
func (m *headerMeter) isFirstLine() bool { return m.lines == 0 }

// exceeds reports whether the request line, or the lines after it, are longer than a limit.
func (m *headerMeter) exceeds(limit int) bool { return max(m.bytes, m.first) > limit }

// memory returns what the header takes beside what its connection is accounted for; a line is copied while it grows.
func (m *headerMeter) memory() intake.Bytes {
	return intake.Bytes(max(2*(m.first+m.bytes)+lineOverhead*m.lines-smallHeaderBytes, 0))
}

const (
	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 35\r\n\r\n431 Request Header Fields Too Large"
	// refusalTimeout bounds the wait for a caller to read that its header is too large; until then what it sends is discarded.
	refusalTimeout  = 500 * time.Millisecond
	maxRefusedBytes = 1 << 20 // that are discarded until then
)

// Errors of reads that package http answers with nothing but the end of the connection.
var (
	errHeaderTooLarge = &net.OpError{Op: "read", Err: syscall.EMSGSIZE}
	errNoRoom         = &net.OpError{Op: "read", Err: syscall.ENOBUFS}
)

// refuseHeader tells the caller that its header is too large. Closing the connection at once would reset it, and the caller would not get the answer.
func (c *conn) refuseHeader() {
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, tooLargeAnswer); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxRefusedBytes)) // the connection is closed with what is left
}
