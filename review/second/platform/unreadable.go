//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// unreadableEntry is what another writer puts in the place of an engine's entry: bytes that cannot be read.
const unreadableEntry = "\x93\x01\xc3 no entry"

// runUnreadable has an engine leave by plan without a word. Another writer puts an entry whose bytes cannot be read in the place of its own, where without the trouble its entry goes.
func runUnreadable(trouble bool, dir string) bool {
	const (
		goesAfter = 2 * time.Second
		heartbeat = 1200 * time.Millisecond
		serves    = 18 * time.Second
	)
	bounds = fleetSheet
	k := &keptCase{trouble: trouble, store: platformtest.NewStore()}
	k.store.Put("op", "config", operatorConfig(1))
	for i, zone := range zones { // so that one in eight leaves
		e := newEngine(fmt.Sprintf("i-stays%d", i+1), callService, zone, callWork, k.arrived)
		k.store.Put("servers", e.id, e.entry("ready"))
	}
	leaving := newEngine("i-leaves", callService, "raqqada-hall", callWork, k.arrived)
	k.store.Put("servers", leaving.id, leaving.entry("ready"))
	for i, zone := range zones {
		k.nodes = append(k.nodes, newNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, k.store.Address(), dir, ""))
	}
	track(k.nodes...)
	for _, n := range k.nodes {
		n.start(true)
	}
	awaitReady(k.nodes, 10*time.Second)
	record.say("%d nodes are ready; trouble: %t", len(k.nodes), trouble)
	time.Sleep(bounds.contact)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, n := range k.nodes {
		k.callers.keepSending(ctx, n, callPath+"order", callWait, 200*time.Millisecond)
	}
	time.Sleep(goesAfter)
	k.mustHaveRun(leaving)
	if trouble {
		k.store.PutRaw("servers", leaving.id, unreadableEntry+" 0")
		go func() { // the other writer goes on, so that its entry doesn't lapse
			for n := 1; ctx.Err() == nil; n++ {
				time.Sleep(heartbeat)
				k.store.PutRaw("servers", leaving.id, fmt.Sprint(unreadableEntry, " ", n))
			}
		}()
		record.say("in the place of the entry of %s another writer has put one whose bytes cannot be read; the engine serves on for %s", leaving.id, serves)
	} else {
		k.store.Delete("servers", leaving.id)
		record.say("the entry of %s has gone; it serves on for %s", leaving.id, serves)
	}
	gone := time.Now()
	reader := k.reader()
	if reader == nil {
		cannotRun("no node says that it reads the store")
	}
	record.say("%s reads the store for the others", reader.name)
	time.Sleep(time.Until(gone.Add(serves)))
	inWork := leaving.end()
	record.say("%s has ended with %d calls under way: %s", leaving.id, len(inWork), strings.Join(inWork, " "))
	time.Sleep(callWait + 700*time.Millisecond)
	stop()
	k.callers.work.Wait()
	killAll()
	k.mustServe()
	// All machines have been in touch all the while; to be safe they are given contactMs to learn of the entry, beside drainMs.
	return !k.judge(leaving, "", gone.Add(bounds.contact+bounds.drain), inWork)
}
