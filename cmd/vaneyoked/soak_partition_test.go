package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/cutline"
	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	partitionNodes   = 6
	partitionCallers = 8
	partitionRounds  = 8
	partitionSettles = time.Second // after which cut nodes have to serve again
	observedCalls    = 100

	cutsSuffix      = ".cuts" // of the file that tells a node's process what it is cut from, after the name of its settings
	cutsPollPeriod  = 10 * time.Millisecond
	upstreamTimeout = 120 * time.Millisecond // of a connection to an engine, as in the default settings
)

// cuttableDialer returns a dialer that is cut from the addresses in a file, whose first line is the mode of the partition.
func cuttableDialer(path string) *cutline.Dialer {
	d := cutline.New(&net.Dialer{
		Timeout: upstreamTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1},
	})
	go func() {
		last := ""
		for ; ; time.Sleep(cutsPollPeriod) {
			text, err := os.ReadFile(path)
			if err != nil || string(text) == last {
				continue
			}
			last = string(text)
			lines := strings.Fields(last)
			if len(lines) == 0 {
				d.Restore()
				continue
			}
			var mode cutline.Mode
			_, _ = fmt.Sscan(lines[0], &mode)
			d.Cut(mode, func(address string) bool { return slices.Contains(lines[1:], address) })
		}
	}()
	return d
}

// cut partitions a node from engines, or restores its paths if there are none.
func (s *soak) cut(n *soakNode, mode cutline.Mode, engines []*platformtest.Engine) {
	text := ""
	if len(engines) > 0 {
		text = fmt.Sprintln(int(mode))
		for _, e := range engines {
			text += e.Address() + "\n"
		}
	}
	must.NoError(s.t, os.WriteFile(n.settings+cutsSuffix+".new", []byte(text), 0o600))
	must.NoError(s.t, os.Rename(n.settings+cutsSuffix+".new", n.settings+cutsSuffix))
}

// cutRandomly partitions all but some nodes from all engines or those of one service, and returns the nodes that are cut.
func (s *soak) cutRandomly(rng *rand.Rand) (cut []*soakNode) {
	mode := cutline.Mode(rng.IntN(3))
	service := []string{"", "lm", "shop"}[rng.IntN(3)]
	engines := slices.DeleteFunc(slices.Clone(s.live), func(e *platformtest.Engine) bool { return service != "" && e.Service != service })
	nodes := s.allNodes()
	rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for i, n := range nodes[:len(nodes)-1] {
		if i > 0 && rng.IntN(2) == 0 {
			s.cut(n, 0, nil)
			continue
		}
		s.cut(n, mode, engines)
		cut = append(cut, n)
	}
	s.cut(nodes[len(nodes)-1], 0, nil)
	return cut
}

// TestSoakPartitions partitions real processes from engines again and again, while nodes are killed, stopped and frozen and engines crash. Promises must
// hold throughout; when nothing else goes on, cut nodes must serve at the first attempt.
func TestSoakPartitions(t *testing.T) {
	s := newSoak(t, orDefault(*soakNodes, partitionNodes), shortLameDuck...)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, partitionCallers) {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() {
			for sleepContext(ctx, time.Duration(rng.IntN(20))*time.Millisecond) {
				switch rng.IntN(3) {
				case 0:
					s.call(ctx, rng, "/look/x")
				case 1:
					s.call(ctx, rng, "/buy/x")
				default:
					s.stream(ctx, rng)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 5<<32))
	for range partitionRounds {
		s.cutRandomly(rng)
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		s.disruptDuringPartition(rng)
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
	}
	s.waitServed()
	s.observeCutNodes(ctx, s.cutRandomly(rng))
	for _, n := range s.allNodes() {
		s.cut(n, 0, nil)
	}
	s.waitServed()
	stop()
	callers.Wait()
	s.check()
}

// disruptDuringPartition disrupts a node or an engine.
func (s *soak) disruptDuringPartition(rng *rand.Rand) {
	n := s.randomNode(rng)
	switch rng.IntN(6) {
	case 0:
		s.killAndRestart(n)
	case 1:
		s.stopAndRestart(n)
	case 2:
		n.freeze(time.Duration(rng.Int64N(int64(time.Second))))
	case 3:
		e := s.randomEngine(rng)
		e.Crash()
		time.Sleep(engineDowntime)
		must.True(s.t, e.Restart())
		s.store.ListEngine(e, false)
	case 4:
		s.withoutStore(time.Duration(rng.Int64N(int64(time.Second))), func() {})
	}
}

// observeCutNodes checks that cut nodes serve calls at the first attempt, but for one and one in fifty.
func (s *soak) observeCutNodes(ctx context.Context, cut []*soakNode) {
	time.Sleep(partitionSettles)
	served := 0
	for i := range observedCalls {
		call := platformtest.Call{Path: "/look/x", ID: fmt.Sprintf("observed-%d", i), Host: soakHost, Key: soakKey, Wait: 2 * time.Second}
		if status, _ := exchange(ctx, cut[i%len(cut)], call); status == http.StatusOK {
			served++
		}
	}
	s.t.Logf("%d cut nodes served %d of %d calls", len(cut), served, observedCalls)
	if served < observedCalls-1-observedCalls/50 {
		s.fail("cut nodes served %d of %d calls", served, observedCalls)
	}
}
