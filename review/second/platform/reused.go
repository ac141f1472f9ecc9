//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	addedPath    = "/label/"
	addedService = "labels"
	storeCut     = 5500 * time.Millisecond // core_cut of the site
	reuseAfter   = 2 * time.Second         // reuseAfterS
	addedCalls   = 40                      // on each route; the rule counts from 20 on
)

// trentfold is the place of the six machines of trentfold-sort. The machine of Leicester reads the store for the others, and is the only one of its zone.
var trentfold = []string{"derby-hall-1", "derby-hall-2", "nottingham-hall-1", "nottingham-hall-2", "leicester-hall-1", "loughborough-hall-1"}

func deskConfig(version int, withAdded bool) map[string]any {
	config := operatorConfig(version)
	if withAdded {
		config["routes"] = append(config["routes"].([]any), map[string]any{
			"name": "label", "hostname": callHost, "pathPrefix": addedPath, "type": "idempotent", "timeoutMs": 1500, "goalMs": 300, "priority": 2,
			"service": addedService, "maxAttempts": 3, "public": true,
		})
		config["services"] = append(config["services"].([]any), map[string]any{"name": addedService, "maxConns": 100, "healthPath": "/healthz"})
	}
	return config
}

// runReused has the address of an engine that was taken away go to the engine of a new service, while the machine that reads the store is partitioned from it. Later a route to that service is added.
func runReused(trouble bool, dir string) bool {
	store := platformtest.NewStore()
	store.Put("op", "config", deskConfig(1, false))
	var desk []*engine
	for i, zone := range []string{"derby-hall", "nottingham-hall", "leicester-hall", "loughborough-hall", "derby-hall", "nottingham-hall", "leicester-hall", "loughborough-hall"} {
		e := newEngine(fmt.Sprintf("i-desk%d", i+1), callService, zone, 30*time.Millisecond, nil)
		desk = append(desk, e)
		store.Put("servers", e.id, e.entry("ready"))
	}
	var nodes []*node
	var cut *node
	toStore := newProxy(store.Address())
	for _, name := range trentfold {
		address := store.Address()
		n := newNode("edge-"+name, name[:len(name)-2], address, dir, "")
		if name == "leicester-hall-1" {
			n.store, cut = toStore.address, n
		}
		nodes = append(nodes, n)
	}
	track(nodes...)
	for _, n := range nodes {
		n.start(true)
	}
	awaitReady(nodes, 10*time.Second)
	record.say("%d nodes are ready; trouble: %t", len(nodes), trouble)
	time.Sleep(4 * time.Second)
	if reader := cut.part().Reader; reader != cut.name {
		cannotRun("%q reads the store, not %s", reader, cut.name)
	}
	var callers caller
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, n := range nodes {
		callers.keepSending(ctx, n, callPath+"order", callWait, 300*time.Millisecond)
	}
	leaving := desk[:1] // one in eight
	for _, e := range leaving {
		store.Put("servers", e.id, e.entry("draining"))
		record.say("%s says that it is draining", e.id)
	}
	time.Sleep(bounds.drain - 300*time.Millisecond)
	cutFrom := time.Now()
	if trouble {
		toStore.cut()
		record.say("%s is partitioned from the store", cut.name)
	}
	time.Sleep(600 * time.Millisecond)
	for _, e := range leaving {
		e.end()
		store.Delete("servers", e.id)
		record.say("%s has ended, and its entry goes", e.id)
	}
	time.Sleep(reuseAfter + 200*time.Millisecond)
	for i, e := range leaving {
		at := newEngineAt(e.address, fmt.Sprintf("i-label%d", i+1), addedService, e.zone, 30*time.Millisecond, nil)
		store.Put("servers", at.id, at.entry("ready"))
		record.say("%s of the service %s has started at the address of %s", at.id, addedService, e.id)
	}
	time.Sleep(time.Until(cutFrom.Add(storeCut)))
	if trouble {
		toStore.heal()
		record.say("%s reaches the store again", cut.name)
	}
	time.Sleep(time.Second)
	store.Put("op", "config", deskConfig(2, true))
	acked := time.Now()
	record.say("configuration 2 adds a route to the service %s", addedService)
	time.Sleep(time.Until(acked.Add(bounds.config + bounds.contact)))
	record.say("%s has been in touch for %s; its callers send on both routes", cut.name, bounds.contact)
	served := map[string]int{}
	statuses := map[string]map[int]int{callPath: {}, addedPath: {}}
	for range addedCalls {
		for _, path := range []string{callPath, addedPath} {
			a := callers.send(cut, path+"order", callWait)
			statuses[path][a.status]++
			if a.status == http.StatusOK {
				served[path]++
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	stop()
	callers.work.Wait()
	killAll()
	record.say("%s: of %d calls on the first route %d were served, of %d on the added one %d; statuses %v", cut.name, addedCalls, served[callPath], addedCalls, served[addedPath], statuses)
	if served[callPath] < addedCalls/2 {
		cannotRun("too little was served on the first route")
	}
	return 4*served[addedPath] >= served[callPath]
}
