package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

var (
	soakCommits = flag.String("soak.commits", "", "commits whose builds serve the same days of streams, by commas; \"present\" is the build under test, which runs alone and for a short time where it is empty")
	soakDays    = flag.String("soak.days", "releases,moments", "days of streams, by commas: releases, moments, faults, restarts, unrecorded, builds")
	soakSeeds   = flag.Uint64("soak.seeds", 1, "number of seeds of the days of streams, from that of -soak.seed on")
)

const (
	presentBuild     = "present"
	dayNodes         = 6
	dayCallers       = 16
	pieceInterval    = 100 * time.Millisecond
	shortDay         = 6 * time.Second
	longDay          = 45 * time.Second
	maxComebacks     = 3  // of a caller to a node that answers
	maxTriesOfStream = 40 // those included that no node answered
	retryPause       = 100 * time.Millisecond
	maxStreamPause   = 300 * time.Millisecond // between two streams of a caller
	breakShare       = 20                     // one out of how many runs breaks off within an event
	maxBreachesShown = 12                     // breached streams that are logged in full
)

// buildSoak drives nodes of any build, and judges each stream by the pieces that its caller got.
type buildSoak struct {
	*soak
	commit     string
	present    *build        // what the commit's nodes run; nil for the build under test
	before     *build        // build of the other nodes where two are side by side; nil if there are none
	length     time.Duration // of the day
	transport  *http.Transport
	runs       atomic.Int64
	areWrong   atomic.Bool // whether engines go on at the wrong event, and end answers early that nothing frames
	crossBuild bool        // whether callers come back to a node of the other build

	connMu sync.Mutex
	conns  map[net.Conn]bool // of callers

	engineMu sync.Mutex // held while an engine is ended or restarted
	leaving  map[*platformtest.Engine]bool

	resultMu sync.Mutex
	counts   *streamCounts
	examples []judgedStream
}

// unknowable are the breaches of a day that look right to a node.
var unknowable = map[string][]breach{"faults": {hiddenGap, misledEnd}}

// day is a series of disruptions that ends within the soak's length.
type day func(s *buildSoak, ctx context.Context, seed uint64, callers *sync.WaitGroup)

// TestSoakPiecesOutOfOrder has real processes of one or more builds serve the same days, on which software versions change while callers come back, and engines,
// nodes and connections fail. Each stream is judged piece by piece from what its caller got over all tries: no breach is allowed at the build under test; those
// of other builds are counted.
func TestSoakPiecesOutOfOrder(t *testing.T) { playDays(t, strings.Split(*soakDays, ",")...) }

// TestSoakPiecesOfAnUnrecordedVersion is like TestSoakPiecesOutOfOrder, on a day on which all nodes are killed after a version has served of which the store took
// no record.
func TestSoakPiecesOfAnUnrecordedVersion(t *testing.T) { playDays(t, "unrecorded") }

// TestSoakPiecesOfEnginesThatRestartAtOnce is like TestSoakPiecesOutOfOrder, on a day on which engines restart under their ids with another version within a tenth
// of a second.
func TestSoakPiecesOfEnginesThatRestartAtOnce(t *testing.T) { playDays(t, "restarts") }

// playDays plays days with one or more builds and seeds.
func playDays(t *testing.T, names ...string) {
	days := map[string]day{
		"releases": (*buildSoak).playReleases, "moments": (*buildSoak).playMoments, "restarts": (*buildSoak).playRestarts, "unrecorded": (*buildSoak).playUnrecorded,
		"faults": (*buildSoak).playFaults, "builds": (*buildSoak).playBuilds,
	}
	length := orDefault(*soakDuration, longDay)
	if *soakCommits == "" {
		length = orDefault(*soakDuration, shortDay)
	}
	for _, name := range names {
		must.MapContainsKey(t, days, name)
		for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
			for _, commit := range strings.Split(cmp.Or(*soakCommits, presentBuild), ",") {
				t.Run(fmt.Sprint(name, " ", commit, " ", seed), func(t *testing.T) {
					s := newBuildSoak(t, commit, length, name == "builds")
					s.play(days[name], seed)
					s.report(fmt.Sprintf("%s, %s, seed %d", name, commit, seed))
					if commit == presentBuild && s.before == nil {
						s.checkOutput()
						must.SliceEmpty(t, s.violations)
						must.MapEmpty(t, s.counts.kindsBut(unknowable[name]), must.Sprint("see the streams logged above"))
					}
				})
			}
		}
	}
}

// newBuildSoak starts nodes of a commit; where builds are side by side, every other node is of the one that ran before.
func newBuildSoak(t *testing.T, commit string, length time.Duration, areMixed bool) *buildSoak {
	s := &buildSoak{
		soak: newSoak(t, 0), commit: commit, length: length, conns: map[net.Conn]bool{}, leaving: map[*platformtest.Engine]bool{}, counts: newStreamCounts(), crossBuild: areMixed,
	}
	if commit != presentBuild {
		text, err := exec.Command("git", "rev-parse", "--short=8", commit+"^{commit}").Output()
		must.NoError(t, err)
		s.present = buildCommit(t, strings.TrimSpace(string(text)))
	}
	if areMixed {
		s.before = buildCommit(t, cmp.Or(*soakBefore, productionCommit(t)))
	}
	s.transport = &http.Transport{DisableKeepAlives: true, DialContext: s.dial}
	t.Cleanup(s.transport.CloseIdleConnections)
	for _, e := range s.live {
		s.markRuns(e)
	}
	for i := range orDefault(*soakNodes, dayNodes) {
		n, err := s.addNode(shortLameDuck...)
		must.NoError(t, err)
		next := s.present
		if areMixed && i%2 == 1 {
			next = s.before
		}
		must.NoError(t, s.setBuild(n, next))
		must.NoError(t, n.start())
	}
	for _, n := range s.allNodes() {
		waitReady(t, n.readyURL())
	}
	return s
}

// markRuns makes the events of an engine slow and name their runs; some runs break off.
func (s *buildSoak) markRuns(e *platformtest.Engine) {
	e.MarkRuns()
	e.HoldAllReplicas()
	e.SpoilBy(func(string, string) platformtest.Fault {
		fault, run := platformtest.Fault{Pause: pieceInterval}, int(s.runs.Add(1))
		switch {
		case run%breakShare == 0:
			fault.BreakAt, fault.HalfEvent = 2+run/breakShare%platformtest.Events, run/breakShare%2 == 0
		case s.areWrong.Load():
			goWrong(&fault, run)
		}
		return fault
	})
}

// addMarked starts an engine of a version that marks its events from the first one on, and lists it.
func (s *buildSoak) addMarked(zone, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := platformtest.NewEngine(fmt.Sprintf("i-%d", len(s.engines)), "lm", zone)
	e.Version = version
	s.markRuns(e)
	s.engines, s.live = append(s.engines, e), append(s.live, e)
	s.store.ListEngine(e, false)
}

// dial connects a caller to a node.
func (s *buildSoak) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.connMu.Lock()
	defer s.connMu.Unlock()
	s.conns[conn] = true
	return conn, nil
}

// resetCallers resets all connections of callers.
func (s *buildSoak) resetCallers() {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	for conn := range s.conns {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(s.conns)
}

// play runs callers and a day until its end.
func (s *buildSoak) play(d day, seed uint64) {
	ctx, stop := context.WithTimeout(s.t.Context(), s.length)
	defer stop()
	var callers sync.WaitGroup
	for c := range orDefault(*soakCallers, dayCallers) {
		rng := rand.New(rand.NewPCG(seed, uint64(c)))
		callers.Go(func() {
			for sleepContext(ctx, randomDuration(rng, maxStreamPause)) {
				s.take(ctx, rng)
			}
		})
	}
	d(s, ctx, seed, &callers)
	<-ctx.Done()
	callers.Wait()
}

// take requests a stream until it is whole or refused for good, or its caller has come back often enough, and judges it.
func (s *buildSoak) take(ctx context.Context, rng *rand.Rand) {
	var stream judgedStream
	call := platformtest.Call{Path: "/tell/x", Stream: true, Prompt: fmt.Sprintf("%x", rng.Uint32()), Wait: 12 * time.Second, Host: soakHost, Key: soakKey}
	var node *soakNode
	for comebacks := 0; comebacks <= maxComebacks && len(stream) < maxTriesOfStream && ctx.Err() == nil; {
		tryCtx, leave := context.WithCancel(ctx)
		if comebacks < maxComebacks && rng.IntN(4) == 0 { // the caller leaves, and comes back
			time.AfterFunc(randomDuration(rng, platformtest.Events*pieceInterval), leave)
		}
		node = s.nextNode(rng, node)
		call.ID, call.After = fmt.Sprintf("attempt-%d", s.ids.Add(1)), stream.last()
		try, retryAfter := s.try(tryCtx, node, call)
		leave()
		if call.Resume == "" && len(try.pieces) > 0 {
			call.Resume = call.ID
		}
		stream = append(stream, try)
		if last := stream.last(); try.isWhole && last < platformtest.Events {
			stream[len(stream)-1].isMisled = s.isSkipped(try.attempt, last)
		}
		if try.isWhole || (try.status == http.StatusServiceUnavailable && retryAfter < 0 && stream.last() > 0) {
			break
		}
		if try.status != 0 && retryAfter < 0 {
			comebacks++
		}
		sleepContext(ctx, max(retryPause, retryAfter))
	}
	s.resultMu.Lock()
	defer s.resultMu.Unlock()
	if s.counts.add(stream) {
		s.examples = append(s.examples, stream)
	}
}

// isSkipped reports whether a run of an attempt that was to go on after a piece began beyond the last one, and so brought nothing.
func (s *buildSoak) isSkipped(attempt string, after int) bool {
	s.mu.Lock()
	engines := slices.Clone(s.engines)
	s.mu.Unlock()
	return slices.ContainsFunc(engines, func(e *platformtest.Engine) bool {
		return slices.ContainsFunc(e.Runs(), func(run *platformtest.Run) bool {
			return run.ID() == attempt && run.Header.Get("Last-Event-Id") == strconv.Itoa(after) && after+1+run.Fault.ResumesShifted > platformtest.Events
		})
	})
}

// nextNode returns the node to which a caller turns after the one before, nil for none.
func (s *buildSoak) nextNode(rng *rand.Rand, before *soakNode) *soakNode {
	nodes := s.allNodes()
	if before != nil && s.crossBuild {
		others := slices.DeleteFunc(slices.Clone(nodes), func(n *soakNode) bool {
			return n.currentIncarnation().build == before.currentIncarnation().build
		})
		if len(others) > 0 {
			nodes = others
		}
	}
	return nodes[rng.IntN(len(nodes))]
}

// try sends one request. retryAfter is the time after which a refused caller is to come back, negative for none.
func (s *buildSoak) try(ctx context.Context, n *soakNode, call platformtest.Call) (try tryOfStream, retryAfter time.Duration) {
	try = tryOfStream{attempt: call.ID, node: n.name, build: s.commitOf(n), after: call.After, began: time.Now()}
	defer func() { try.ended = time.Now() }()
	req, err := call.Request(ctx, n.listen)
	must.NoError(s.t, err)
	res, err := s.transport.RoundTrip(req)
	if err != nil {
		return try, -1
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	try.status = res.StatusCode
	if res.StatusCode == http.StatusOK {
		try.pieces, try.rest = platformtest.Pieces(string(body))
		try.isWhole = err == nil
		return try, -1
	}
	try.refusal = fmt.Sprint(res.StatusCode, " ", strings.TrimSpace(string(body)))
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		return try, time.Duration(seconds * float64(time.Second))
	}
	return try, -1
}

// commitOf returns the commit of the build that a node runs.
func (s *buildSoak) commitOf(n *soakNode) string {
	if b := n.currentIncarnation().build; b != nil {
		return b.commit
	}
	return presentBuild
}

// report logs the counts and some of the breached streams.
func (s *buildSoak) report(title string) {
	s.resultMu.Lock()
	defer s.resultMu.Unlock()
	s.t.Logf("%s: %s", title, s.counts)
	for _, place := range slices.Sorted(maps.Keys(s.counts.places)) {
		s.t.Logf("    %s: %d", place, s.counts.places[place])
	}
	s.t.Logf("    refused when taken up: %v", s.counts.refused)
	for _, stream := range s.examples[:min(maxBreachesShown, len(s.examples))] {
		s.t.Logf("%v: %s", stream.breaches(), stream)
	}
}
