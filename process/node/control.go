package node

import (
	"context"
	"expvar"
	"net"
	"net/http"

	"github.com/samber/do/v2"

	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/process/settings"
)

// controlClient is the HTTP client for the platform and other nodes; it counts the bytes sent and received.
type controlClient struct {
	http           *http.Client
	sent, received *expvar.Int
}

func provideControlClient(i do.Injector) (*controlClient, error) {
	sent, received := new(expvar.Int), new(expvar.Int)
	vars := do.MustInvoke[*expvar.Map](i)
	vars.Set("control_sent_bytes_total", sent)
	vars.Set("control_received_bytes_total", received)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := newTransport(do.MustInvoke[settings.Settings](i).Limits, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, sent: sent, received: received}, nil
	})
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleConnsPerHost, idleTimeout
	return &controlClient{http: &http.Client{Transport: boundedBodies{httpcheck.NewTransport(transport)}, Timeout: platformTimeout}, sent: sent, received: received}, nil
}

// countListener returns a listener whose connections are included in the byte counts.
func (c *controlClient) countListener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, control: c}
}

// countedListener is a listener whose connections count their bytes.
type countedListener struct {
	net.Listener
	control *controlClient
}

// Accept returns the next connection, with its bytes counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, sent: l.control.sent, received: l.control.received}, nil
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	sent, received *expvar.Int
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
