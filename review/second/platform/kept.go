//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	callPath    = "/desk/"
	callService = "desk"
	callWork    = 600 * time.Millisecond
	callWait    = 1500 * time.Millisecond

	storeAway   = 4400 * time.Millisecond  // the store's longest outage on the sheet is 4.5 s (platform_down)
	servesOn    = 10500 * time.Millisecond // how long an engine serves on after its entry has gone
	missingFor  = 2 * time.Second          // after the store's return, an entry that is still missing is to be taken as gone
	roundLength = 17500 * time.Millisecond

	awayAfter  = 300 * time.Millisecond // the store goes away so long after the planned restart has begun
	startDelay = time.Second            // from the end of a process to its next start
	rounds     = 6
)

// zones is the place of the seven machines of onma-souk.
var zones = []string{"medina-hall", "medina-hall", "medina-hall", "raqqada-hall", "raqqada-hall", "sbikha-hall", "sbikha-hall"}

// operatorConfig is the configuration: one route of calls that run at most once.
func operatorConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "desk", "hostname": callHost, "pathPrefix": callPath, "type": "non_idempotent", "timeoutMs": 1500, "goalMs": 300, "priority": 2,
			"service": callService, "maxAttempts": 3, "public": true,
		}},
		"services": []any{map[string]any{"name": callService, "maxConns": 100, "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
		"tenants":  []any{},
	}
}

// arrival is a request that an engine began to run.
type arrival struct {
	engine, id string
	at         time.Time
}

// keptCase plays rounds in which an engine leaves by plan while the store is away and one node is restarted by plan.
type keptCase struct {
	trouble  bool
	store    *platformtest.Store
	nodes    []*node
	callers  caller
	mu       sync.Mutex
	arrivals []arrival
}

func (k *keptCase) arrived(e *engine, id string, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.arrivals = append(k.arrivals, arrival{e.id, id, time.Now()})
}

// reader returns the node that reads the store for the others.
func (k *keptCase) reader() *node {
	for _, n := range k.nodes {
		if n.part().Reader == n.name {
			return n
		}
	}
	return nil
}

// meshPart is what a node tells of its part in the mesh.
type meshPart struct {
	Source, Reading, Reader string
	Fresh                   bool
}

func (n *node) part() (p meshPart) {
	var mesh struct{ Part meshPart }
	_ = json.Unmarshal(n.vars()["mesh"], &mesh)
	return mesh.Part
}

func runKept(trouble bool, dir string) bool {
	k := &keptCase{trouble: trouble, store: platformtest.NewStore()}
	k.store.Put("op", "config", operatorConfig(1))
	var engines []*engine
	for i, zone := range zones { // so that one in eight leaves
		e := newEngine(fmt.Sprintf("i-stays%d", i+1), callService, zone, callWork, k.arrived)
		engines = append(engines, e)
		k.store.Put("servers", e.id, e.entry("ready"))
	}
	for i, zone := range zones {
		k.nodes = append(k.nodes, newNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, k.store.Address(), dir, ""))
	}
	track(k.nodes...)
	for _, n := range k.nodes {
		n.start(true)
	}
	awaitReady(k.nodes, 10*time.Second)
	record.say("%d nodes are ready; trouble: %t", len(k.nodes), trouble)
	time.Sleep(3 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, n := range k.nodes {
		k.callers.keepSending(ctx, n, callPath+"order", callWait, 125*time.Millisecond)
	}
	broken := false
	for round := 1; round <= rounds && !broken; round++ {
		broken = k.round(round)
	}
	stop()
	k.callers.work.Wait()
	killAll()
	k.mustServe()
	for _, e := range engines {
		e.end()
	}
	return !broken
}

// round plays one round, and reports whether the rule was broken.
func (k *keptCase) round(round int) (broken bool) {
	began := time.Now()
	leaving := newEngine(fmt.Sprintf("i-leaves%d", round), callService, zones[round%len(zones)], callWork, k.arrived)
	k.store.Put("servers", leaving.id, leaving.entry("ready"))
	time.Sleep(1500 * time.Millisecond)
	first := k.reader()
	if first == nil {
		cannotRun("round %d: no node says that it reads the store", round)
	}
	record.say("round %d: %s reads the store for the others", round, first.name)
	restarted := k.restart(first)
	time.Sleep(awayAfter)
	if k.trouble {
		k.store.Refuse(http.StatusServiceUnavailable)
		record.say("the store is busy (503)")
	}
	awayFrom := time.Now()
	time.Sleep(time.Until(awayFrom.Add(storeAway * 2 / 3)))
	k.store.Delete("servers", leaving.id)
	gone := time.Now()
	k.mustHaveRun(leaving)
	record.say("the entry of %s has gone; it serves on for %s", leaving.id, servesOn)
	time.Sleep(time.Until(awayFrom.Add(storeAway)))
	if k.trouble {
		k.store.Refuse(0)
		record.say("the store answers again")
	}
	back := time.Now()
	<-restarted
	awaitReady([]*node{first}, 5*time.Second)
	first.rest(false)
	time.Sleep(time.Until(gone.Add(servesOn)))
	inWork := leaving.end()
	record.say("%s has ended with %d calls under way: %s", leaving.id, len(inWork), strings.Join(inWork, " "))
	time.Sleep(callWait + 700*time.Millisecond)
	// Core and machines are in touch contactMs after the store's return; the engine was acknowledged as gone by then. Requests may reach it for drainMs more.
	bound := back.Add(max(bounds.contact, missingFor) + bounds.drain)
	broken = k.judge(leaving, first.name, bound, inWork)
	time.Sleep(time.Until(began.Add(roundLength)))
	return broken
}

// restart restarts a node by plan: SIGTERM, SIGKILL after the grace, and a start after a short delay, as the platform does. The balancer sends it no callers meanwhile.
func (k *keptCase) restart(n *node) (done chan struct{}) {
	done = make(chan struct{})
	if os.Getenv("NO_RESTART") != "" {
		close(done)
		return done
	}
	n.rest(true)
	record.say("%s gets SIGTERM: it is restarted by plan", n.name)
	n.signal(syscall.SIGTERM)
	go func() {
		defer close(done)
		if !n.wait(graceS * time.Second) {
			n.signal(syscall.SIGKILL)
			n.wait(time.Second)
		}
		record.say("the process of %s has ended", n.name)
		time.Sleep(startDelay)
		n.start(false)
		record.say("%s was started again", n.name)
	}()
	return done
}

// mustHaveRun ends the program if an engine that is about to leave has got no calls: whether nodes stop sending it some could not be told.
func (k *keptCase) mustHaveRun(e *engine) {
	k.mu.Lock()
	got := slices.ContainsFunc(k.arrivals, func(a arrival) bool { return a.engine == e.id })
	k.mu.Unlock()
	if !got {
		cannotRun("%s got no calls before its entry changed", e.id)
	}
}

// mustServe ends the program if fewer than half of the calls were served, so that the run says nothing.
func (k *keptCase) mustServe() {
	k.callers.mu.Lock()
	served, all := 0, len(k.callers.answers)
	for _, a := range k.callers.answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	k.callers.mu.Unlock()
	record.say("%d of %d calls were served", served, all)
	if 2*served < all || all == 0 {
		cannotRun("%d of %d calls were served", served, all)
	}
}

// judge reports whether requests reached the engine after the bound from nodes that were in touch, so not from one that was restarted meanwhile.
func (k *keptCase) judge(e *engine, restarted string, bound time.Time, inWork []string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	late := map[string]int{}
	count, lost := 0, 0
	for _, a := range k.arrivals {
		if a.engine != e.id || !a.at.After(bound) {
			continue
		}
		k.callers.mu.Lock()
		answered := k.callers.answers[a.id]
		k.callers.mu.Unlock()
		if answered == nil || answered.node == restarted {
			continue
		}
		count++
		late[answered.node]++
		record.printf("late arrival: call %s from %s reached %s %d ms after the bound; the caller got status %d %s", a.id, answered.node, e.id, a.at.Sub(bound).Milliseconds(), answered.status, answered.err)
		if slices.Contains(inWork, a.id) && answered.status != http.StatusOK {
			lost++
		}
	}
	record.say("%s: %d calls reached it later than drainMs after it was acknowledged as gone, from %v; %d of them were lost as it ended", e.id, count, late, lost)
	return count > 0
}
