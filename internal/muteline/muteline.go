package muteline

import (
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Proxy forwards TCP connections to a target.
type Proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	muted  chan struct{} // closed when the connections opened since the last Mute are muted
	conns  []net.Conn
	closed bool
}

// New returns a Proxy for target that listens on a loopback port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by Close
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, muted: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the IP address and port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Opened returns the number of connections opened so far.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

// Mute stops forwarding on all open connections but keeps them open. New connections are forwarded.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.muted)
	p.muted = make(chan struct{})
}

// Close stops the proxy and closes all of its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target) //nolint:noctx // to loopback
		if err != nil {
			_ = client.Close()
			continue
		}
		muted, ok := p.track(client, server)
		if !ok {
			return
		}
		go copyUntilMuted(client, server, muted)
		go copyUntilMuted(server, client, muted)
	}
}

// track registers a pair of connections; ok is false if the proxy is closed.
func (p *Proxy) track(client, server net.Conn) (muted chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_, _ = client.Close(), server.Close()
		return nil, false
	}
	p.conns = append(p.conns, client, server)
	return p.muted, true
}

// copyUntilMuted copies bytes until one side closes. After the connection is muted, it reads and discards them.
func copyUntilMuted(from, to net.Conn, muted chan struct{}) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		select {
		case <-muted:
			if err != nil {
				return // a muted connection does not pass on the close
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
