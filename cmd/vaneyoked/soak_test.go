package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the soak's faults and requests")
	soakLogs   = flag.String("soak.logs", "", "folder for the nodes' logs; none are kept where it is empty")
	soakFaults = flag.Int("soak.faults", 40, "faults of the soak, one after the other")
)

const (
	nodeSettingsVar = "VANEYOKED_TEST_SETTINGS" // has the test program run a node in place of the tests
	soakNodes       = 3
	soakCallers     = 6
	soakHost        = "stall.example"
	soakKey         = "key"
	faultPause      = 100 * time.Millisecond
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
	nodes   [soakNodes]*soakNode
	ids     atomic.Int64
	once    []onceCall
	wrong   []string
	served  atomic.Int64
}

// soakNode is one process and its successors.
type soakNode struct {
	listen, readiness, settings string
	cmd                         *exec.Cmd
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

func (s *soak) startNode(n *soakNode) {
	n.cmd = exec.Command(os.Args[0])
	n.cmd.Env = append(os.Environ(), nodeSettingsVar+"="+n.settings)
	if *soakLogs != "" {
		log, err := os.OpenFile(filepath.Join(*soakLogs, strings.ReplaceAll(n.listen, ":", "-")+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		must.NoError(s.t, err)
		defer func() { _ = log.Close() }()
		n.cmd.Stdout, n.cmd.Stderr = log, log
	}
	must.NoError(s.t, n.cmd.Start())
}

func (s *soak) addEngine(service, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := platformtest.NewEngine(fmt.Sprintf("i-%d", len(s.engines)), service, zone)
	s.engines = append(s.engines, e)
	s.live = append(s.live, e)
	s.store.ListEngine(e, false)
}

func (s *soak) configure() {
	s.version++
	s.store.Configure(s.version, soakHost, soakKey,
		platformtest.Route{Name: "tell", Kind: platformtest.Streaming, Service: "lm", Attempts: 5},
		platformtest.Route{Name: "look", Kind: platformtest.Repeatable, Service: "shop", Attempts: 2},
		platformtest.Route{Name: "buy", Kind: platformtest.Once, Service: "shop", Attempts: 1},
	)
}

// fault brings about one fault, and undoes it where it would last.
func (s *soak) fault(rng *rand.Rand) {
	n := s.nodes[rng.IntN(soakNodes)]
	switch rng.IntN(10) {
	case 0:
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		s.startNode(n)
	case 1:
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		_ = n.cmd.Wait()
		s.startNode(n)
	case 2:
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
	case 3:
		_ = n.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(2 * faultPause)
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	case 4, 5:
		s.replaceEngine(rng, rng.IntN(2) == 0)
	case 6:
		s.engine(rng).Spoil(s.engineFault(rng), s.engineFault(rng))
	case 7:
		s.store.Refuse(http.StatusServiceUnavailable)
		time.Sleep(3 * faultPause)
		s.store.Refuse(0)
	case 8:
		s.store.ForgetHistory()
	case 9:
		s.configure()
	}
}

func (s *soak) engine(rng *rand.Rand) *platformtest.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[rng.IntN(len(s.live))]
}

func (s *soak) engineFault(rng *rand.Rand) platformtest.Fault {
	return []platformtest.Fault{
		{Reset: true}, {BreakAt: 1 + rng.IntN(platformtest.Events)}, {BreakAt: 5, HalfEvent: true}, {Status: 500}, {Status: 503},
		{Decline: 503}, {OtherID: "other"}, {Unsigned: true}, {SilentAt: 3}, {Delay: 50 * time.Millisecond},
	}[rng.IntN(10)]
}

// replaceEngine ends an engine, announced or not, and starts another one.
func (s *soak) replaceEngine(rng *rand.Rand, announced bool) {
	e := s.engine(rng)
	s.addEngine(e.Service, e.Zone)
	if announced {
		s.store.ListEngine(e, true)
		time.Sleep(faultPause)
	}
	s.mu.Lock()
	for i := range s.live {
		if s.live[i] == e {
			s.live = append(s.live[:i], s.live[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	e.Close()
	time.Sleep(faultPause)
	s.store.UnlistEngine(e)
}

// send makes one attempt at a random node.
func (s *soak) send(ctx context.Context, rng *rand.Rand, call platformtest.Call) (id string, res *http.Response, err error) {
	call.ID = fmt.Sprintf("attempt-%d", s.ids.Add(1))
	call.Host, call.Key = soakHost, soakKey
	req, err := call.Request(ctx, s.nodes[rng.IntN(soakNodes)].listen)
	if err != nil {
		return call.ID, nil, err
	}
	res, err = http.DefaultTransport.RoundTrip(req)
	return call.ID, res, err
}

// call asks a service once, and keeps how it ended where the call may run at most once.
func (s *soak) call(ctx context.Context, rng *rand.Rand, path string) {
	id, res, err := s.send(ctx, rng, platformtest.Call{Path: path})
	status := 0
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		body, readErr := io.ReadAll(res.Body)
		status = res.StatusCode
		if signed := platformtest.SignedBy(res); status == http.StatusOK && readErr == nil {
			s.served.Add(1)
			if string(body) != "answer from "+signed {
				s.fail("%s %s: answer %q is not that of %q", path, id, body, signed)
			}
		}
	}
	if strings.HasPrefix(path, "/buy/") {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.once = append(s.once, onceCall{id: id, status: status})
	}
}

// stream asks for a stream until it is whole, and goes on after the last whole event wherever it broke.
func (s *soak) stream(ctx context.Context, rng *rand.Rand) {
	after := 0
	for try := 0; try < 20 && ctx.Err() == nil; try++ {
		call := platformtest.Call{Path: "/tell/x", Stream: true, Prompt: fmt.Sprintf("%x", rng.Uint32()), After: after}
		id, res, err := s.send(ctx, rng, call)
		if err != nil || res.StatusCode != http.StatusOK {
			if err == nil {
				_ = res.Body.Close()
			}
			time.Sleep(faultPause / 4)
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		want := platformtest.StreamText(after)
		if !strings.HasPrefix(want, string(body)) || (err == nil && string(body) != want) {
			s.fail("stream %s after %d: complete %v, got %q", id, after, err == nil, body)
			return
		}
		if err == nil {
			s.served.Add(1)
			return
		}
		after += strings.Count(string(body), "\n\n")
		if after >= platformtest.Events {
			return
		}
	}
}

// TestSoak runs real processes through random faults; what is promised to callers must hold for each of their requests.
func TestSoak(t *testing.T) {
	s := &soak{t: t, store: platformtest.NewStore()}
	t.Cleanup(s.store.Close)
	for _, zone := range []string{"a", "b"} {
		for range 3 {
			s.addEngine("lm", zone)
		}
		s.addEngine("shop", zone)
	}
	s.addEngine("shop", "a")
	t.Cleanup(func() {
		for _, e := range s.engines {
			e.Close()
		}
	})
	s.configure()
	for i := range s.nodes {
		n := &soakNode{listen: freeAddress(t), readiness: freeAddress(t), settings: filepath.Join(t.TempDir(), "node.ini")}
		text := filledTemplate(t, s.store.Address(), n.listen, n.readiness, "127.0.0.1:0")
		text = strings.Replace(text, "[gateway]\n", "[gateway]\nlame = 50ms\n", 1)
		must.NoError(t, os.WriteFile(n.settings, []byte(text), 0o600))
		s.nodes[i] = n
		s.startNode(n)
		t.Cleanup(func() {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		})
	}
	for _, n := range s.nodes {
		untilReady(t, "http://"+n.readiness+"/readyz")
	}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range soakCallers {
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
	for _, n := range s.nodes { // everything must come back
		untilReady(t, "http://"+n.readiness+"/readyz")
	}
	before := s.served.Load()
	for start := time.Now(); s.served.Load() < before+50; time.Sleep(time.Millisecond) {
		must.Less(t, patient, time.Since(start))
	}
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
	must.SliceEmpty(s.t, s.wrong)
	must.Positive(s.t, len(s.once))
}
