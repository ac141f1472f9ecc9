package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/node"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
)

const (
	datagramRelayVar  = "VANEYOKED_TEST_DATAGRAM_RELAY" // address of the relay to which a node's process sends its datagrams
	receiverBytes     = 6                               // of the receiver's address, with which a datagram to the relay begins
	relayBufferBytes  = 64 << 10
	maxRepeats        = 3
	maxRepeatInterval = 2 * time.Second // after a datagram, in which its copies follow
)

// datagramOptions makes a node send its datagrams through the relay that the environment names, if any.
func datagramOptions() []node.Option {
	relay, err := netip.ParseAddrPort(os.Getenv(datagramRelayVar))
	if err != nil {
		return nil
	}
	return []node.Option{node.WithPacketListener(relayedPackets(relay))}
}

// relayedPackets returns a listener whose sockets send all datagrams to a relay.
func relayedPackets(relay netip.AddrPort) mesh.PacketListener {
	return func(ctx context.Context, network, address string) (net.PacketConn, error) {
		conn, err := new(net.ListenConfig).ListenPacket(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &relayedConn{PacketConn: conn, relay: net.UDPAddrFromAddrPort(relay)}, nil
	}
}

// relayedConn is a socket that sends to a relay.
type relayedConn struct {
	net.PacketConn
	relay *net.UDPAddr
}

// WriteTo sends a datagram to the relay, after the address of its receiver.
func (c *relayedConn) WriteTo(data []byte, to net.Addr) (int, error) {
	receiver := to.(*net.UDPAddr).AddrPort()
	ip := receiver.Addr().Unmap().As4()
	framed := binary.BigEndian.AppendUint16(append(make([]byte, 0, receiverBytes+len(data)), ip[:]...), receiver.Port())
	n, err := c.PacketConn.WriteTo(append(framed, data...), c.relay)
	return max(0, n-receiverBytes), err
}

// datagramFaults are what a network does to datagrams.
type datagramFaults struct {
	lost, repeated, late float64       // shares
	delay                time.Duration // longest one of late datagrams
}

// datagramRelay forwards the datagrams between nodes; it outlives the processes that sent them.
type datagramRelay struct {
	conn net.PacketConn

	mu                              sync.Mutex
	rng                             *rand.Rand
	faults                          datagramFaults
	forwarded, lost, repeated, late int
}

// startDatagramRelay makes the nodes that start during a test send their datagrams through a relay.
func startDatagramRelay(t *testing.T, seed uint64) *datagramRelay {
	conn, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	t.Setenv(datagramRelayVar, conn.LocalAddr().String())
	r := &datagramRelay{conn: conn, rng: rand.New(rand.NewPCG(seed, 8<<32))}
	go r.run()
	return r
}

func (r *datagramRelay) run() {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, _, err := r.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if n > receiverBytes {
			r.forward(append([]byte(nil), buffer[:n]...))
		}
	}
}

// forward sends a datagram to its receiver, and its copies later.
func (r *datagramRelay) forward(framed []byte) {
	to := &net.UDPAddr{IP: net.IP(framed[:4]), Port: int(binary.BigEndian.Uint16(framed[4:]))}
	for _, delay := range r.delays() {
		if delay == 0 {
			_, _ = r.conn.WriteTo(framed[receiverBytes:], to)
			continue
		}
		time.AfterFunc(delay, func() { _, _ = r.conn.WriteTo(framed[receiverBytes:], to) })
	}
}

// delays returns when a datagram and its copies are to be sent; none for a lost one.
func (r *datagramRelay) delays() []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rng.Float64() < r.faults.lost {
		r.lost++
		return nil
	}
	delays := []time.Duration{0}
	if r.rng.Float64() < r.faults.late {
		r.late++
		delays[0] = 1 + time.Duration(r.rng.Int64N(int64(r.faults.delay)))
	}
	if r.rng.Float64() < r.faults.repeated {
		r.repeated++
		for range 1 + r.rng.IntN(maxRepeats) {
			delays = append(delays, time.Duration(r.rng.Int64N(int64(maxRepeatInterval))))
		}
	}
	r.forwarded++
	return delays
}

// String describes what has happened to datagrams.
func (r *datagramRelay) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d forwarded, %d lost, %d repeated, %d late", r.forwarded, r.lost, r.repeated, r.late)
}

// set changes what happens to datagrams.
func (r *datagramRelay) set(faults datagramFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// disrupt changes what happens to datagrams until ctx ends.
func (r *datagramRelay) disrupt(ctx context.Context, rng *rand.Rand) {
	defer r.set(datagramFaults{})
	for sleepContext(ctx, time.Duration(rng.Int64N(int64(maxRepeatInterval)))) {
		r.set([]datagramFaults{
			{},
			{repeated: 0.5},
			{late: 0.3, delay: 3 * time.Second},
			{repeated: 0.3, late: 0.2, delay: 500 * time.Millisecond, lost: 0.05},
			{lost: 0.3, repeated: 0.2, late: 0.3, delay: time.Second},
		}[rng.IntN(5)])
	}
}
