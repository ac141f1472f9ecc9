package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
	"github.com/vaneyoke/vaneyoke/process/node"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the soak's faults and requests")
	soakLogs     = flag.String("soak.logs", "", "folder for the nodes' logs; a folder of the test's own where it is empty")
	soakFaults   = flag.Int("soak.faults", 40, "faults of the soak, one after the other")
	soakDuration = flag.Duration("soak.duration", 0, "how long stops go on, for each seed; 0 for the test's own time")
	soakNodes    = flag.Int("soak.nodes", 0, "nodes of a soak; 0 for the test's own number")
	soakCallers  = flag.Int("soak.callers", 0, "callers of a soak; 0 for the test's own number")
)

const (
	nodeSettingsVar = "VANEYOKED_TEST_SETTINGS" // makes the test executable run a node instead of the tests
	faultNodes      = 3
	faultCallers    = 6
	soakHost        = "stall.example"
	soakKey         = "key"
	faultPause      = 100 * time.Millisecond
	nodesPerEngine  = 2 // a zone of a large soak has one engine for this number of nodes
)

func TestMain(m *testing.M) {
	if path := os.Getenv(nodeSettingsVar); path != "" {
		os.Args = []string{"vaneyoked", "--config", path}
		nodeOptions = append(nodeOptions, node.WithUpstreamDialer(cuttableDialer(path+cutsSuffix)))
		nodeOptions = append(nodeOptions, datagramOptions()...)
		main()
		return
	}
	status := m.Run()
	removeCrowdBuild()
	os.Exit(status)
}

// soak is a fleet of real node processes with stand-in engines and a stand-in store, and callers that check their answers.
type soak struct {
	t       *testing.T
	store   *platformtest.Store
	version int

	mu             sync.Mutex
	engines        []*platformtest.Engine // all, including those that have ended
	live           []*platformtest.Engine
	nodes          []*soakNode
	lastNodeNumber int    // in the name of the newest node
	logs           string // folder of log files
	ids            atomic.Int64
	atMostOnce     []atMostOnceCall
	violations     []string
	served         atomic.Int64
	storeAway      atomic.Bool  // whether the store refuses all calls
	unended        atomic.Int64 // streams of which the caller had all events, and did not get the end however often it asked
}

// atMostOnceCall is the outcome of a call that may run at most once, as its caller saw it.
type atMostOnceCall struct {
	id     string
	status int // 0 if the connection broke
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// newSoak starts the stand-ins and a number of nodes, with replacements in their deployed settings.
func newSoak(t *testing.T, nodes int, replace ...string) *soak {
	s := &soak{t: t, store: platformtest.NewStore(), logs: t.TempDir()}
	t.Cleanup(s.store.Close)
	t.Cleanup(func() {
		must.SliceEmpty(t, s.store.Cloud().Violations())
		t.Logf("%d reports of usage, %d calls with a lower token", len(s.store.Cloud().Reports()), s.store.Cloud().Refused())
	})
	if *soakLogs != "" {
		s.logs = filepath.Join(*soakLogs, t.Name())
		must.NoError(t, os.MkdirAll(s.logs, 0o700))
	}
	for _, zone := range []string{"a", "b"} {
		for range max(3, nodes/nodesPerEngine) {
			s.addEngine("lm", zone)
		}
		for range max(1, nodes/nodesPerEngine/2) {
			s.addEngine("shop", zone)
		}
	}
	s.addEngine("shop", "a")
	t.Cleanup(func() {
		for _, e := range s.engines {
			e.Close()
		}
	})
	s.configure()
	for range nodes {
		n, err := s.addNode(replace...)
		must.NoError(t, err)
		must.NoError(t, n.start())
	}
	for _, n := range s.nodes {
		waitReady(t, n.readyURL())
	}
	return s
}

// waitServed waits until all nodes are ready and 50 more requests have been served.
func (s *soak) waitServed() {
	for _, n := range s.allNodes() {
		waitReady(s.t, n.readyURL())
	}
	before := s.served.Load()
	for start := time.Now(); s.served.Load() < before+50; time.Sleep(time.Millisecond) {
		must.Less(s.t, maxWait, time.Since(start))
	}
}

// orDefault returns the value of a flag, or the test's default if the flag is not set.
func orDefault[T int | time.Duration](given, fallback T) T {
	if given > 0 {
		return given
	}
	return fallback
}

// TestSoak injects random faults into real processes: streams must be exact, answers those of their engines, calls that may run at most once
// must not run twice, and refused ones must not run at all.
func TestSoak(t *testing.T) {
	s := newSoak(t, orDefault(*soakNodes, faultNodes), "[gateway]\n", "[gateway]\nlame = 50ms\n")
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, faultCallers) {
		rng := rand.New(rand.NewPCG(*soakSeed, uint64(c)))
		callers.Go(func() {
			for ctx.Err() == nil {
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
	rng := rand.New(rand.NewPCG(*soakSeed, 1<<32))
	for range *soakFaults {
		time.Sleep(faultPause)
		s.injectFault(rng)
	}
	s.waitServed()
	stop()
	callers.Wait()
	s.check()
}

// unendedShare is one out of how many requests may be a stream that has no end, as its callers ask again for half a second only.
const unendedShare = 100

// checkPanics records the panics that the nodes have logged as violations.
func (s *soak) checkPanics() {
	logs, err := filepath.Glob(filepath.Join(s.logs, "*.log"))
	must.NoError(s.t, err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		must.NoError(s.t, err)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "msg=handler_panicked") || strings.Contains(line, "msg=session_panicked") {
				s.violations = append(s.violations, filepath.Base(path)+": "+line)
			}
		}
	}
}

// check compares the answers of at-most-once calls with what engines ran, and fails on violations.
func (s *soak) check() {
	runs := map[string]int{}
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			runs[run.ID()]++
		}
	}
	for _, call := range s.atMostOnce {
		refused := call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests
		if runs[call.id] > 1 || (refused && runs[call.id] > 0) {
			s.violations = append(s.violations, fmt.Sprintf("call %s ended with status %d and ran %d times", call.id, call.status, runs[call.id]))
		}
	}
	s.t.Logf("seed %d: %d faults, %d answers, %d calls that may run once, %d attempts", *soakSeed, *soakFaults, s.served.Load(), len(s.atMostOnce), s.ids.Load())
	s.checkPanics()
	if unended := s.unended.Load(); unended > s.served.Load()/unendedShare {
		s.violations = append(s.violations, fmt.Sprintf("%d streams had no end, %d requests were served", unended, s.served.Load()))
	}
	for _, violation := range s.violations {
		s.t.Log(violation)
	}
	must.SliceEmpty(s.t, s.violations)
	must.Positive(s.t, len(s.atMostOnce))
}
