package httpcheck

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper for HTTP/1 whose requests fail with a ViolationError if their responses violate HTTP. A violation in a trailer is an
// error at the end of the body.
type Transport struct{ *http.Transport }

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that checks the responses on the connections of base, which must not be used any more.
func NewTransport(base *http.Transport) *Transport {
	dial, dialTLS := dialFunc(base.DialContext), dialFunc(base.DialTLSContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	if dialTLS == nil {
		dialTLS = dial.withTLS(base)
	}
	base.DialContext, base.DialTLSContext = dial.checked, dialTLS.checked
	return &Transport{base}
}

// checked dials a connection whose responses are checked.
func (dial dialFunc) checked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// withTLS returns a function that dials connections with TLS as base would, so that their responses are seen in clear.
func (dial dialFunc) withTLS(base *http.Transport) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if base.TLSHandshakeTimeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, base.TLSHandshakeTimeout)
			defer cancel()
		}
		encrypted := tls.Client(c, tlsConfig(base.TLSClientConfig, address))
		if err := encrypted.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		return encrypted, nil
	}
}

// tlsConfig returns the configuration of a connection to an address for HTTP/1.
func tlsConfig(base *tls.Config, address string) *tls.Config {
	config := &tls.Config{} //nolint:gosec // the default version is that of package net/http
	if base != nil {
		config = base.Clone()
	}
	config.NextProtos = nil
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// RoundTrip executes a request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used connTracer
	res, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), used.trace())))
	if err != nil {
		return nil, used.errorOf(err)
	}
	res.Request = req
	if len(res.TransferEncoding) > 0 && res.Body != http.NoBody {
		res.Body = &trailedBody{ReadCloser: res.Body, res: res}
	}
	return res, nil
}

// connTracer follows a request to the connection that it uses.
type connTracer struct{ conn atomic.Pointer[conn] }

// trace returns the trace of the request. Its connection expects another response once it is kept for the next request.
func (u *connTracer) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				u.conn.Store(c)
			}
		},
		PutIdleConn: func(err error) {
			if c := u.conn.Load(); c != nil && err == nil {
				c.expectResponse()
			}
		},
	}
}

// errorOf returns the violation that the connection has seen, or else the error of the request: package net/http may find another fault in what
// precedes a violation.
func (u *connTracer) errorOf(err error) error {
	if c := u.conn.Load(); c != nil {
		if violation := c.violated(); violation != nil {
			return violation
		}
	}
	return err
}

// Client returns a copy of a client that checks the responses on connections of its own. A client whose transport is not one of package net/http is
// returned as it is: it is checked already, or shares its connections with other clients and is checked where they are opened.
func Client(client *http.Client) *http.Client {
	transport := client.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	base, ok := transport.(*http.Transport)
	if !ok {
		return client
	}
	checked := *client
	checked.Transport = NewTransport(base.Clone())
	return &checked
}
