package serve

import (
	"context"
	"time"
)

// Caller is whoever sent a request, as its connection knows it; the zero value knows nothing.
type Caller struct{ conn *conn }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// CallerOf returns the caller of the request that a context is of. The context itself ends when the caller has left.
func CallerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(connKey{}).(*conn)
	return Caller{c}
}

// Note keeps a request's id with the connection, for what is told of connections that are cut off.
func (c Caller) SetRequestID(id string) {
	if c.conn == nil {
		return
	}
	c.conn.server.mu.Lock()
	defer c.conn.server.mu.Unlock()
	c.conn.known.Request = id
}

// Ending reports whether the connection ends with the answer, which the answer has to tell the caller. It is asked when the
// answer is written, since the server may have been told to end while the request was under way.
func (c Caller) WillClose() bool {
	if c.conn == nil {
		return false
	}
	c.conn.server.mu.Lock()
	defer c.conn.server.mu.Unlock()
	return c.conn.server.retired
}

// OpenedAt returns when the connection was opened, the zero time where that is not known.
func (c Caller) OpenedAt() time.Time {
	if c.conn == nil {
		return time.Time{}
	}
	return c.conn.opened
}
