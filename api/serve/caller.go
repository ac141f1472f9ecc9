package serve

import (
	"context"
	"time"
)

// Caller gives a handler access to the connection of its request. The zero value stands for an unknown connection.
type Caller struct{ conn *conn }

// connKey is the context key of a request's connection.
type connKey struct{}

// CallerOf returns the caller of the request with the given context. The context is cancelled when the caller disconnects.
func CallerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(connKey{}).(*conn)
	return Caller{c}
}

// SetRequestID records the id of the current request, which Conns reports for connections that are cut off.
func (c Caller) SetRequestID(id string) {
	if c.conn == nil {
		return
	}
	c.conn.server.mu.Lock()
	defer c.conn.server.mu.Unlock()
	c.conn.info.Request = id
}

// ReadUntil has the connection read what the caller still sends until a time, if the response is complete before the request: a caller that reads only after
// sending would not get it otherwise.
func (c Caller) ReadUntil(t time.Time) {
	if c.conn == nil {
		return
	}
	c.conn.server.mu.Lock()
	defer c.conn.server.mu.Unlock()
	c.conn.reading = t
}

// requestID returns the id of the current request, "" if it is not known.
func (c Caller) requestID() string {
	if c.conn == nil {
		return ""
	}
	c.conn.server.mu.Lock()
	defer c.conn.server.mu.Unlock()
	return c.conn.info.Request
}

// WillClose reports whether the connection will be closed after the response, which must then say so in its header. Handlers
// check it when they write the response, since the shutdown may begin while the request is being handled.
func (c Caller) WillClose() bool {
	if c.conn == nil {
		return false
	}
	c.conn.server.mu.Lock()
	defer c.conn.server.mu.Unlock()
	return c.conn.server.keepAlivesDisabled
}

// OpenedAt returns when the connection was opened, or the zero time if that is unknown.
func (c Caller) OpenedAt() time.Time {
	if c.conn == nil {
		return time.Time{}
	}
	return c.conn.opened
}
