package node

import (
	"context"
	"expvar"
	"net"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/decide/intake"
	"github.com/vaneyoke/vaneyoke/process/settings"
)

// listenerName identifies a listener in logs and metrics.
type listenerName string

// The listeners.
const (
	atCallers   listenerName = "callers"
	atReadiness listenerName = "readiness"
	atAdmin     listenerName = "admin"
	atPeers     listenerName = "peers"
)

// connShare is what a listener's connections may take of the process's memory, and of its descriptors.
type connShare struct{ memory, descriptors float64 }

// connShares leaves most memory to bodies and answers, and half of the descriptors to upstreams, the store and other nodes: a request that is handled may have a
// connection to an upstream, and another one while it goes on elsewhere.
var connShares = map[listenerName]connShare{
	atCallers:   {memory: 0.3, descriptors: 0.3},
	atPeers:     {memory: 0.05, descriptors: 0.1},
	atReadiness: {memory: 0.02, descriptors: 0.03},
	atAdmin:     {memory: 0.02, descriptors: 0.03},
}

const (
	connMemory     = 24 << 10               // bytes of a connection: buffers, stacks and what the node keeps about it
	headerPatience = 250 * time.Millisecond // after which a connection without a complete header is closed before idle ones, if some has to be
)

// connLimits returns the bounds on the connections of a listener.
func connLimits(s settings.Limits, listener listenerName) intake.Limits {
	share := connShares[listener]
	return intake.Limits{
		Conns:     int(share.descriptors * float64(maxDescriptors(s))),
		Bytes:     intake.Bytes(share.memory * float64(s.MemoryBytes())),
		ConnBytes: intake.Bytes(connMemory + s.ReceiveBytes),
		Patience:  headerPatience,
	}
}

// maxDescriptors returns how many descriptors the process may have, 0 if that is not known.
func maxDescriptors(s settings.Limits) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return s.Descriptors
	}
	system := int(min(limit.Cur, maxKnownDescriptors))
	if s.Descriptors > 0 {
		return min(s.Descriptors, system)
	}
	return system
}

// maxKnownDescriptors stands for a limit that is not a bound.
const maxKnownDescriptors = 1 << 20

// soBufLock is SO_BUF_LOCK, which package syscall lacks.
const soBufLock = 72

// listen opens a listener. The system receives few bytes for connections that are not accepted yet.
func listen(ctx context.Context, address string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if receiveBytes > 0 { // connections work without
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes/2) // the system doubles it
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soBufLock, 0)                      // with it, the window could not grow for a large body later
			}
		})
	}}
	l, err := config.Listen(ctx, "tcp", address)
	return l, vaneyoke.WrapErr(vaneyoke.CodeListen, err, "listen on %s", address)
}

// registerConnMetrics adds the figures of a listener's connections.
func registerConnMetrics(vars *expvar.Map, listener listenerName, server *serve.Server) {
	vars.Set("connections_"+string(listener), expvar.Func(func() any {
		stats := server.Stats()
		return map[string]any{"open": stats.Conns, "bytes": stats.Bytes, "header_bytes": stats.HeaderBytes}
	}))
}
