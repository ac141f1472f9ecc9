package muteline

import (
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Line relays connections to a target.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	epoch chan struct{} // closed when the connections of before fall silent
	conns []net.Conn
	over  bool
}

// New returns a line to the target at an address of its own.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by Close
	if err != nil {
		return nil, err
	}
	l := &Proxy{target: target, listener: listener, epoch: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Address returns the IP number and port that stand for the target.
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// Opened returns how many connections were ever opened.
func (l *Proxy) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) / 2
}

// Mute has the connections that are open now carry nothing more, while they stay open; new ones work.
func (l *Proxy) Mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.epoch)
	l.epoch = make(chan struct{})
}

// Close ends the line and all of its connections.
func (l *Proxy) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *Proxy) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target) //nolint:noctx // to loopback
		if err != nil {
			_ = near.Close()
			continue
		}
		muted, ok := l.keep(near, far)
		if !ok {
			return
		}
		go relay(near, far, muted)
		go relay(far, near, muted)
	}
}

// keep notes a connection; ok is false where the line is closed.
func (l *Proxy) keep(near, far net.Conn) (muted chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		_, _ = near.Close(), far.Close()
		return nil, false
	}
	l.conns = append(l.conns, near, far)
	return l.epoch, true
}

// relay carries bytes until one side ends or the connection is muted, after which it takes them and tells nobody.
func relay(from, to net.Conn, muted chan struct{}) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		select {
		case <-muted:
			if err != nil {
				return // the other side is not told
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
