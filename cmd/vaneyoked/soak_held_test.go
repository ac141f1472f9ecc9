package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/cutline"
	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	heldNodes        = 6
	heldCallers      = 24
	heldBurst        = 12              // requests at drawn moments around each stop
	heldLasts        = 3 * time.Second // how long stops begin in CI
	heldLastsByHand  = 40 * time.Second
	heldGrace        = 8 * time.Second // as deployed; all times below are for it, and shrink with a shorter one
	heldShortGrace   = 4 * time.Second // in CI
	heldLead         = 700 * time.Millisecond
	maxHeldStopPause = 1600 * time.Millisecond // between the beginnings of two stops
	maxHeldChange    = 2 * time.Second         // between two changes of the configuration, or two of SIGHUP
	maxHeldCutPause  = 4 * time.Second
	maxHeldCutTime   = 6 * time.Second
	heldEvents       = 50
	heldEventPause   = 100 * time.Millisecond
	heldCallDelay    = 1500 * time.Millisecond // of a slow call
	heldLate504      = 1080 * time.Millisecond
	quickShare       = 10 // how much faster a quick stream is
)

// heldSettings shorten the grace of a node.
var heldSettings = []string{"grace = 8s\n", "grace = " + heldShortGrace.String() + "\n", "[gateway]\n", "[gateway]\nlame = 1500ms\n"}

// What an engine does at the first attempt of a request.
const (
	worksWell         = "well"
	worksQuickly      = "quickly"
	worksSlowly       = "slowly" // a call
	worksAndBreaks    = "breaks"
	worksAndBreaksAll = "breaks-all" // at all attempts
	worksAndSilent    = "silent"
	worksNot          = "hangs"
	worksAndFails     = "fails"
	worksAndTimesOut  = "times-out"
)

// heldSoak stops nodes of any build in overlapping series, while callers hold bodies back and read slowly, and engines fail.
type heldSoak struct {
	*stopSoak
	commit string
	routes changingRoutes
	events map[int][]platformtest.Event // by their least length
	texts  map[int]string
	begun  sync.Map // ids of the requests that an engine has begun

	bursts  sync.WaitGroup
	results sync.Mutex
	taken   []*heldAttempt
	cuts    map[*soakNode][]span // from all engines
	hangups int
}

// Guards against requests that end without a whole answer at a planned stop, because what was decided at their heads is acted on once their bodies have come.
func TestSoakBodiesHeldBack(t *testing.T) {
	commits := strings.Split(*soakCommits, ",")
	if *soakCommits == "" {
		commits = []string{presentBuild}
	}
	table := newHeldTable()
	defer table.log(t)
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		for _, commit := range commits {
			t.Run(fmt.Sprint(commit, " ", seed), func(t *testing.T) {
				s := newHeldSoak(t, commit)
				s.run(seed)
				counts := s.judge(seed)
				table.add(commit, counts)
				if commit == presentBuild {
					must.SliceEmpty(t, s.violations)
					must.MapEmpty(t, notAllowed(counts), must.Sprint("see the requests logged above"))
				}
			})
		}
	}
}

// isHeldByHand reports whether the soak runs with the deployed settings.
func isHeldByHand() bool { return *soakCommits != "" || *soakDuration > 0 }

func newHeldSoak(t *testing.T, commit string) *heldSoak {
	return newHeldSoakOf(t, commit, orDefault(*soakNodes, heldNodes))
}

// newHeldSoakOf starts a number of nodes of a commit.
func newHeldSoakOf(t *testing.T, commit string, nodes int) *heldSoak {
	s := &heldSoak{
		stopSoak: &stopSoak{soak: newSoak(t, 0), grace: heldShortGrace, processEnds: map[string]int{}}, commit: commit,
		events: map[int][]platformtest.Event{}, texts: map[int]string{}, cuts: map[*soakNode][]span{},
	}
	replace := heldSettings
	if isHeldByHand() {
		s.grace, replace = heldGrace, nil
	}
	for _, length := range heldEventBytes {
		s.events[length] = eventsOf(length)
		s.texts[length] = platformtest.Text(s.events[length])
	}
	for _, e := range s.live {
		e.HoldAllReplicas()
		e.SpoilBy(s.faultOf)
	}
	s.routes.reset()
	s.applyRoutes()
	var program *build
	if commit != presentBuild {
		text, err := exec.Command("git", "rev-parse", "--short=8", commit+"^{commit}").Output()
		must.NoError(t, err)
		program = buildTestsOf(t, strings.TrimSpace(string(text)))
	}
	for range nodes {
		n, err := s.addNode(replace...)
		must.NoError(t, err)
		must.NoError(t, s.setBuild(n, program))
		must.NoError(t, n.start())
	}
	for _, n := range s.allNodes() {
		waitReady(t, n.readyURL())
	}
	return s
}

// eventsOf returns the events of a stream, each of a length at the least.
func eventsOf(length int) (events []platformtest.Event) {
	for n := 1; n <= heldEvents; n++ {
		events = append(events, platformtest.Event{ID: fmt.Sprint(n), Text: platformtest.LongEventText(n, length)})
	}
	return events
}

// scaled returns a time that is stated for the deployed grace.
func (s *heldSoak) scaled(d time.Duration) time.Duration { return scaledTo(s.grace, d) }

func scaledTo(grace, d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(grace) / float64(heldGrace))
}

// faultOf returns what an engine does with a request, by the words at the start of its body.
func (s *heldSoak) faultOf(id, body string) platformtest.Fault {
	var work string
	var length, at int
	_, _ = fmt.Sscan(body, &work, &length, &at)
	fault := platformtest.Fault{Delay: baseDelay, Pause: s.scaled(heldEventPause), Events: s.events[length]}
	if _, isRepeated := s.begun.LoadOrStore(id, true); isRepeated && work != worksAndBreaksAll {
		return fault
	}
	switch work {
	case worksQuickly:
		fault.Pause /= quickShare
	case worksSlowly:
		fault.Delay = s.scaled(heldCallDelay)
	case worksAndBreaks, worksAndBreaksAll:
		fault.BreakAt, fault.HalfEvent = at, at%2 == 0
	case worksAndSilent:
		fault.SilentAt = at
	case worksNot:
		fault.Hang = true
	case worksAndFails:
		fault.Status = 500
	case worksAndTimesOut:
		fault.Status, fault.Delay = 504, heldLate504
	}
	return fault
}

// run stops nodes beside all other changes, and waits for the callers.
func (s *heldSoak) run(seed uint64) {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range orDefault(*soakCallers, heldCallers) {
		c := s.newCaller(rand.New(rand.NewPCG(seed, uint64(i))), nil)
		callers.Go(func() { c.run(ctx) })
	}
	length := heldLasts
	if isHeldByHand() {
		length = orDefault(*soakDuration, heldLastsByHand)
	}
	stopping, stop := context.WithTimeout(ctx, length)
	defer stop()
	changes := []func(context.Context, *rand.Rand){s.changeConfiguration, s.hangUpNodes, s.cutNodes}
	for range 1 + len(s.allNodes())/(2*heldNodes) {
		changes = append(changes, func(stopping context.Context, rng *rand.Rand) { s.stopNodes(stopping, ctx, rng) })
	}
	for i, change := range changes {
		s.tasks.Go(func() { change(stopping, rand.New(rand.NewPCG(seed, 1<<36+uint64(i)))) })
	}
	s.tasks.Wait()
	cancel()
	callers.Wait()
	s.bursts.Wait()
	s.terminateAll()
}

// stopNodes stops one node after the other until a context ends, without waiting until the ones before have ended; around each stop callers turn to its node.
func (s *heldSoak) stopNodes(stopping, calling context.Context, rng *rand.Rand) {
	for sleepContext(stopping, randomDuration(rng, s.scaled(maxHeldStopPause))) {
		n := s.pickIdle(rng)
		if n == nil {
			continue
		}
		stopRNG, burstRNG := rand.New(rand.NewPCG(rng.Uint64(), 0)), rand.New(rand.NewPCG(rng.Uint64(), 1))
		s.tasks.Go(func() {
			defer n.setBusy(false)
			s.stops.Add(1)
			s.startBurst(calling, n, burstRNG)
			time.Sleep(s.scaled(heldLead))
			s.terminate(n, stopRNG, false)
			s.startAndWait(n)
		})
	}
}

// startBurst starts callers who send a request each to a node from shortly before its stop until its last part.
func (s *heldSoak) startBurst(ctx context.Context, n *soakNode, rng *rand.Rand) {
	for i := range heldBurst {
		c := s.newCaller(rand.New(rand.NewPCG(rng.Uint64(), uint64(i))), n)
		at := randomDuration(rng, s.scaled(2*heldLead))
		if i%3 == 0 {
			at = s.scaled(heldLead) + randomDuration(rng, s.grace)
		}
		s.bursts.Go(func() { c.sendAt(ctx, time.Now().Add(at)) })
	}
}

// changeConfiguration sends configurations until ctx ends that allow all requests.
func (s *heldSoak) changeConfiguration(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, randomDuration(rng, s.scaled(maxHeldChange))) {
		s.routes.further = rng.IntN(hundredsOfRoutes)
		s.applyRoutes()
	}
}

func (s *heldSoak) applyRoutes() {
	s.version++
	s.store.ConfigureKeys(s.version, soakHost, s.routes.keys, s.routes.list()...)
}

// hangUpNodes sends SIGHUP to nodes until ctx ends; those that stop get it from terminate.
func (s *heldSoak) hangUpNodes(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, randomDuration(rng, s.scaled(maxHeldChange))) {
		if n := s.pickIdle(rng); n != nil {
			n.signal(syscall.SIGHUP)
			n.setBusy(false)
			s.hangups++
		}
	}
}

// cutNodes has nodes find no engine by their own path for a while, until ctx ends; what they have open goes on.
func (s *heldSoak) cutNodes(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, randomDuration(rng, s.scaled(maxHeldCutPause))) {
		n, from := s.randomNode(rng), time.Now()
		s.cut(n, cutline.RefuseOnly, s.engines)
		sleepContext(ctx, randomDuration(rng, s.scaled(maxHeldCutTime)))
		s.cut(n, cutline.RefuseOnly, nil)
		s.results.Lock()
		s.cuts[n] = append(s.cuts[n], span{from, time.Now()})
		s.results.Unlock()
	}
}
