package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	soakBefore = flag.String("soak.before", "", "commits of earlier builds that run beside this one, by commas; the one in production where it is empty, none for this build alone")
	soakRounds = flag.Int("soak.rounds", 3, "how often the nodes are replaced one after the other, forth and back in turn")
)

const (
	upgradeNodes   = 4
	upgradeCallers = 4
	revocableKey   = "key-that-is-taken-away"
	upgradePause   = 20 * time.Millisecond // between two calls of a caller
	revocationTime = 3 * time.Second       // after its revocation, within which all nodes have to refuse a key
)

// withoutQuarantine lists the builds that keep forwarding requests which crash engines.
var withoutQuarantine = []string{"83805ab"}

// upgradeSoak is a fleet whose nodes are upgraded and downgraded between builds, one after the other.
type upgradeSoak struct {
	*soak
	earlierBuilds     []*build
	currentBuildCalls sync.Map // ids of calls to nodes of this build
	broken            atomic.Int64
	complete          atomic.Int64
	unexpectedExits   atomic.Int64 // number of processes that ended by themselves

	keyMu     sync.Mutex
	keyUses   []keyUse
	revokedAt time.Time   // when the key was revoked; zero if it was not
	crashes   []time.Time // of engines, on the crashing request
	quiet     []span
}

// keyUse is a request with the key that is revoked during the soak.
type keyUse struct {
	incarnation string // name of the node and number of its process
	sent        time.Time
	answered    time.Time
	status      int
}

// TestSoakUpgrade runs nodes of this build beside those of earlier ones, and upgrades and downgrades them one after the other, while callers stream,
// engines are lost, requests crash engines, engines declare limits, the store is unavailable and nodes are killed during their start. The guarantees to
// callers and engines must hold, and no process may end by itself, whatever messages it receives from nodes of another build.
func TestSoakUpgrade(t *testing.T) {
	s := &upgradeSoak{soak: newSoak(t, 0)}
	commits := strings.Split(cmp.Or(*soakBefore, productionCommit(t)), ",")
	for _, commit := range commits {
		if commit != "none" {
			s.earlierBuilds = append(s.earlierBuilds, buildCommit(t, commit))
		}
	}
	rng := rand.New(rand.NewPCG(*soakSeed, 1<<32))
	s.configureKeys()
	for i := range orDefault(*soakNodes, upgradeNodes) {
		n, err := s.addNode(shortLameDuck...)
		must.NoError(t, err)
		must.NoError(t, s.setBuild(n, s.earlierBuild(i)))
		must.NoError(t, n.start())
	}
	for _, n := range s.allNodes() {
		waitReady(t, n.readyURL())
	}
	for _, e := range s.live {
		e.SpoilAll(platformtest.Fault{Delay: 5 * time.Millisecond, Pause: 2 * time.Millisecond})
		s.crashOnBody(e)
	}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, upgradeCallers) {
		streams, calls := rand.New(rand.NewPCG(*soakSeed, uint64(c))), rand.New(rand.NewPCG(*soakSeed, 1<<40+uint64(c)))
		callers.Go(func() { s.sendStreams(ctx, streams) })
		callers.Go(func() { s.sendCalls(ctx, calls) })
	}
	callers.Go(func() { s.useRevocableKey(ctx, rand.New(rand.NewPCG(*soakSeed, 1<<41))) })
	callers.Go(func() { s.sendCrashing(ctx, rand.New(rand.NewPCG(*soakSeed, 1<<42))) })
	for round := range *soakRounds {
		s.replaceAll(rng, round)
		if round == 0 {
			s.revokeKey()
		}
	}
	s.waitServed()
	time.Sleep(recoveryTime)
	s.stayQuiet()
	stop()
	callers.Wait()
	s.verify()
	s.check()
}

// earlierBuild returns the earlier build with which node i starts; nil if there is none.
func (s *upgradeSoak) earlierBuild(i int) *build {
	if len(s.earlierBuilds) == 0 {
		return nil
	}
	return s.earlierBuilds[i%len(s.earlierBuilds)]
}

// replaceAll restarts the nodes one after the other: in even rounds all of them with this build, in odd rounds some with an earlier build.
func (s *upgradeSoak) replaceAll(rng *rand.Rand, round int) {
	for i, n := range s.allNodes() {
		if round%2 == 1 && rng.IntN(2) == 0 {
			continue
		}
		if rng.IntN(2) == 0 {
			s.disrupt(rng)
		}
		var next *build
		if round%2 == 1 {
			next = s.earlierBuild(i)
		}
		s.checkAlive(n)
		n.signal(syscall.SIGTERM)
		<-n.process.ended
		must.NoError(s.t, s.setBuild(n, next))
		must.NoError(s.t, n.start())
		if rng.IntN(4) == 0 { // during its start
			time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
			s.checkAlive(n)
			n.kill()
			must.NoError(s.t, n.start())
		}
		waitReady(s.t, n.readyURL())
	}
	for _, n := range s.allNodes() {
		s.checkAlive(n)
	}
}

// checkAlive records a violation if a node's process has ended by itself, and restarts it.
func (s *upgradeSoak) checkAlive(n *soakNode) {
	select {
	case <-n.process.ended:
		s.unexpectedExits.Add(1)
		commit := "this build"
		if b := n.currentIncarnation().build; b != nil {
			commit = b.commit
		}
		s.fail("%s of %s ended by itself: %v\n%s", n.name, commit, n.process.err, n.logTail("", 12))
		must.NoError(s.t, n.start())
		waitReady(s.t, n.readyURL())
	default:
	}
}

// disrupt causes one random disruption or configuration change.
func (s *upgradeSoak) disrupt(rng *rand.Rand) {
	n := s.randomNode(rng)
	switch rng.IntN(7) {
	case 0:
		s.checkAlive(n)
		n.kill()
		must.NoError(s.t, n.start())
	case 1:
		n.freeze(time.Duration(rng.Int64N(int64(time.Second))))
	case 2:
		s.withoutStore(time.Duration(rng.Int64N(int64(2*time.Second))), func() {})
	case 3:
		s.replaceEngine(rng, rng.IntN(2) == 0)
		s.mu.Lock()
		for _, e := range s.live {
			s.crashOnBody(e)
		}
		s.mu.Unlock()
	case 4:
		s.configureKeys()
	default:
		for _, e := range s.limitedEngines() {
			if rng.IntN(3) > 0 {
				e.DeclareLimit(1 + 4*rng.Float64())
			} else {
				e.DeclareLimit(0)
			}
		}
	}
}

// limitedEngines returns the engines of the call service except the first, which declares no limits.
func (s *upgradeSoak) limitedEngines() []*platformtest.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*platformtest.Engine
	for _, e := range s.live {
		if e.Service == "shop" {
			all = append(all, e)
		}
	}
	return all[min(1, len(all)):]
}

// configureKeys writes the next version of the configuration.
func (s *upgradeSoak) configureKeys() {
	s.version++
	s.keyMu.Lock()
	keys := []string{soakKey, revocableKey}
	if !s.revokedAt.IsZero() {
		keys = keys[:1]
	}
	s.keyMu.Unlock()
	s.store.ConfigureKeys(s.version, soakHost, keys,
		platformtest.Route{Name: "tell", Kind: platformtest.Streaming, Service: "lm", Attempts: 5},
		platformtest.Route{Name: "look", Kind: platformtest.Repeatable, Service: "shop", Attempts: 2},
		platformtest.Route{Name: "buy", Kind: platformtest.Once, Service: "shop", Attempts: 1},
	)
}

func (s *upgradeSoak) revokeKey() {
	s.keyMu.Lock()
	s.revokedAt = time.Now()
	s.keyMu.Unlock()
	s.configureKeys()
}

// crashOnBody makes an engine crash on the crashing request, and restart after a while.
func (s *upgradeSoak) crashOnBody(e *platformtest.Engine) {
	e.CrashOn(crashingBody, func() {
		s.keyMu.Lock()
		s.crashes = append(s.crashes, time.Now())
		s.keyMu.Unlock()
		time.Sleep(engineDowntime)
		if e.Restart() {
			s.store.ListEngine(e, false)
		}
	})
}

// sendTo sends a call to a random node, and records if the node runs this build.
func (s *upgradeSoak) sendTo(ctx context.Context, rng *rand.Rand, call platformtest.Call) (string, *http.Response, error) {
	n := s.randomNode(rng)
	call.ID = fmt.Sprintf("attempt-%d", s.ids.Add(1))
	call.Host, call.Key = soakHost, cmp.Or(call.Key, soakKey)
	if n.currentIncarnation().build == nil {
		s.currentBuildCalls.Store(call.ID, true)
	}
	req, err := call.Request(ctx, n.listen)
	if err != nil {
		return call.ID, nil, err
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	return call.ID, res, err
}

// sendStreams requests streams until ctx ends, and counts the complete and the broken ones. A broken one must be a prefix of the expected text.
func (s *upgradeSoak) sendStreams(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, upgradePause) {
		id, res, err := s.sendTo(ctx, rng, platformtest.Call{Path: "/tell/x", Stream: true, Prompt: fmt.Sprintf("%x", rng.Uint32())})
		if err != nil || res.StatusCode != http.StatusOK {
			if err == nil {
				_ = res.Body.Close()
			}
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		want := platformtest.StreamText(0)
		switch {
		case ctx.Err() != nil:
		case !strings.HasPrefix(want, string(body)) || (err == nil && string(body) != want):
			s.fail("stream %s: complete %v, got %q", id, err == nil, body)
		case err != nil:
			s.broken.Add(1)
		default:
			s.complete.Add(1)
			s.served.Add(1)
		}
	}
}

// sendCalls sends calls until ctx ends.
func (s *upgradeSoak) sendCalls(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, upgradePause) {
		path := []string{"/look/x", "/buy/x"}[rng.IntN(2)]
		id, res, err := s.sendTo(ctx, rng, platformtest.Call{Path: path})
		status := 0
		if err == nil {
			body, readErr := io.ReadAll(res.Body)
			_ = res.Body.Close()
			status = res.StatusCode
			if signed := platformtest.SignedBy(res); status == http.StatusOK && readErr == nil {
				s.served.Add(1)
				if string(body) != "answer from "+signed {
					s.fail("%s %s: answer %q is not that of %q", path, id, body, signed)
				}
			}
		}
		if path == "/buy/x" {
			s.mu.Lock()
			s.atMostOnce = append(s.atMostOnce, atMostOnceCall{id: id, status: status})
			s.mu.Unlock()
		}
	}
}

// useRevocableKey keeps sending calls with the key that is revoked during the soak, and records their outcomes.
func (s *upgradeSoak) useRevocableKey(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, upgradePause) {
		n := s.randomNode(rng)
		call := platformtest.Call{Path: "/look/x", Host: soakHost, Key: revocableKey, ID: fmt.Sprintf("attempt-%d", s.ids.Add(1))}
		use := keyUse{incarnation: fmt.Sprintf("%s %d", n.name, n.currentIncarnation().number), sent: time.Now()}
		req, err := call.Request(ctx, n.listen)
		if err != nil {
			continue
		}
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		use.status, use.answered = res.StatusCode, time.Now()
		s.keyMu.Lock()
		s.keyUses = append(s.keyUses, use)
		s.keyMu.Unlock()
	}
}

// sendCrashing repeats the crashing request until ctx ends.
func (s *upgradeSoak) sendCrashing(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, crashInterval) {
		id, res, err := s.sendTo(ctx, rng, platformtest.Call{Path: "/tell/x", Stream: true, Prompt: "aa", Body: crashingBody, Wait: time.Second})
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && ctx.Err() == nil && res.Header.Get("Content-Length") != "" {
			s.fail("the request that crashes engines was answered: %s", id)
		}
	}
}

// stayQuiet waits for a while without disruptions, and records when.
func (s *upgradeSoak) stayQuiet() {
	began := time.Now()
	time.Sleep(quietTime)
	s.quiet = append(s.quiet, span{began, time.Now()})
}
