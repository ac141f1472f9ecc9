//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address, until it is cut: then open ones are reset, and new ones are refused.
type proxy struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{address: freeAddress(), target: target, conns: map[net.Conn]bool{}}
	p.heal()
	return p
}

// heal lets connections pass.
func (p *proxy) heal() {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		cannotRun("%s", err)
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
}

// cut resets the open connections and refuses new ones.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) pass(c net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{c, out}, {out, c}} {
		both.Add(1)
		go func() {
			defer both.Done()
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
		}()
	}
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.conns, out)
}
