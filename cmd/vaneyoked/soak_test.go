package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the soak's faults and requests")
	soakLogs     = flag.String("soak.logs", "", "folder for the nodes' logs; a folder of the test's own where it is empty")
	soakFaults   = flag.Int("soak.faults", 40, "faults of the soak, one after the other")
	soakDuration = flag.Duration("soak.duration", 6*time.Second, "how long stops go on, for each seed")
	soakNodes    = flag.Int("soak.nodes", 0, "nodes of a soak; 0 for the test's own number")
	soakCallers  = flag.Int("soak.callers", 0, "callers of a soak; 0 for the test's own number")
)

const (
	nodeSettingsVar = "VANEYOKED_TEST_SETTINGS" // has the test program run a node in place of the tests
	faultNodes      = 3
	faultCallers    = 6
	soakHost        = "stall.example"
	soakKey         = "key"
	faultPause      = 100 * time.Millisecond
	nodesPerEngine  = 2 // nodes of a large soak for which a zone has one more engine
)

func TestMain(m *testing.M) {
	if path := os.Getenv(nodeSettingsVar); path != "" {
		os.Args = []string{"vaneyoked", "--config", path}
		main()
		return
	}
	os.Exit(m.Run())
}

// soak is a fleet of real processes before stand-ins, with callers that check what they get.
type soak struct {
	t       *testing.T
	store   *platformtest.Store
	version int

	mu      sync.Mutex
	engines []*platformtest.Engine // all that ever were
	live    []*platformtest.Engine
	nodes   []*soakNode
	named   int    // nodes that were given a name
	logs    string // folder
	ids     atomic.Int64
	once    []onceCall
	wrong   []string
	served  atomic.Int64
}

// onceCall is a call that may run at most once, as its caller saw it end.
type onceCall struct {
	id     string
	status int // 0 where the connection broke
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}

// newSoak starts nodes before stand-ins, with replacements in their deployed settings.
func newSoak(t *testing.T, nodes int, replace ...string) *soak {
	s := &soak{t: t, store: platformtest.NewStore(), logs: t.TempDir()}
	t.Cleanup(s.store.Close)
	t.Cleanup(func() {
		must.SliceEmpty(t, s.store.Cloud().Wrong())
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
		untilReady(t, n.readyURL())
	}
	return s
}

// untilServed waits until all nodes are ready again and some more requests were served.
func (s *soak) untilServed() {
	for _, n := range s.all() {
		untilReady(s.t, n.readyURL())
	}
	before := s.served.Load()
	for start := time.Now(); s.served.Load() < before+50; time.Sleep(time.Millisecond) {
		must.Less(s.t, patient, time.Since(start))
	}
}

// either returns a flag's number, or the test's own where the flag is not given.
func either(given, own int) int {
	if given > 0 {
		return given
	}
	return own
}

// TestSoak runs real processes through random faults; what is promised to callers must hold for each of their requests.
func TestSoak(t *testing.T) {
	s := newSoak(t, either(*soakNodes, faultNodes), "[gateway]\n", "[gateway]\nlame = 50ms\n")
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range either(*soakCallers, faultCallers) {
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
		s.fault(rng)
	}
	s.untilServed()
	stop()
	callers.Wait()
	s.check()
}

// check holds what callers were told against what engines ran.
func (s *soak) check() {
	runs := map[string]int{}
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			runs[run.ID()]++
		}
	}
	for _, call := range s.once {
		promised := call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests
		if runs[call.id] > 1 || (promised && runs[call.id] > 0) {
			s.wrong = append(s.wrong, fmt.Sprintf("call %s ended with %d and ran %d times", call.id, call.status, runs[call.id]))
		}
	}
	s.t.Logf("seed %d: %d faults, %d answers, %d calls that may run once, %d attempts", *soakSeed, *soakFaults, s.served.Load(), len(s.once), s.ids.Load())
	for _, wrong := range s.wrong {
		s.t.Log(wrong)
	}
	must.SliceEmpty(s.t, s.wrong)
	must.Positive(s.t, len(s.once))
}
