//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	streamPath    = "/describe/"
	streamService = "lm"
	streamEvents  = 60
	streamPace    = 150 * time.Millisecond
	streams       = 14
	streamWait    = 25 * time.Second
	mixedAllowed  = 2 // streams of two versions that the rule lets pass
)

func streamConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "describe", "hostname": callHost, "pathPrefix": streamPath, "type": "streaming", "resumable": true, "timeoutMs": 25000, "goalMs": 4500, "itlTargetMs": 700, "priority": 1,
			"service": streamService, "maxAttempts": 5, "public": true, "sticky": true,
		}},
		"services": []any{map[string]any{"name": streamService, "maxConns": 360, "healthPath": "/healthz", "backend": map[string]any{"replicas": false, "kvCapacity": 55000, "slots": 64}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
		"tenants":  []any{},
	}
}

// runVersions has the last engine of a software version leave by plan, which serves its streams on, and then kills the processes of all nodes at the same moment.
func runVersions(trouble bool, dir string) bool {
	const (
		others  = 7  // engines of v2 beside the one of v1: one in eight leaves
		prompts = 56 // streams, so that some begin at v1
	)
	store := platformtest.NewStore()
	store.Put("op", "config", streamConfig(1))
	last := newStreamEngine("i-first", streamService, zones[0], "v1", streamEvents, streamPace)
	store.Put("servers", last.id, last.entry("ready"))
	for i := range others {
		e := newStreamEngine(fmt.Sprintf("i-second%d", i+1), streamService, zones[i], "v2", streamEvents, streamPace)
		store.Put("servers", e.id, e.entry("ready"))
	}
	var nodes []*node
	for i, zone := range zones {
		nodes = append(nodes, newNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, store.Address(), dir, ""))
	}
	track(nodes...)
	for _, n := range nodes {
		n.start(true)
	}
	awaitReady(nodes, 10*time.Second)
	record.say("%d nodes are ready, one engine of v1 and %d of v2 serve; trouble: %t", len(nodes), others, trouble)
	time.Sleep(bounds.contact)
	began := time.Now()
	taken := make([]*takenStream, prompts)
	var clients sync.WaitGroup
	for i := range taken {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &streamClient{nodes: nodes, path: streamPath + "catalogue", deadline: began.Add(streamWait), maxTries: 2}
			taken[i] = c.run(fmt.Sprintf("s%d", i+1))
		}()
	}
	time.Sleep(2 * time.Second)
	store.Delete("servers", last.id)
	record.say("the entry of %s, the last engine of v1, has gone; it serves its streams on", last.id)
	time.Sleep(time.Second)
	if trouble {
		for _, n := range nodes {
			n.rest(true)
			n.signal(syscall.SIGKILL)
		}
		record.say("the processes of all nodes are killed")
		for _, n := range nodes {
			n.wait(5 * time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range nodes {
			n.start(false)
		}
		awaitReady(nodes, 10*time.Second)
		for _, n := range nodes {
			n.rest(false)
		}
		record.say("all nodes are ready again")
	}
	clients.Wait()
	killAll()
	mixed, whole, ofFirst, broken := 0, 0, 0, 0
	for i, s := range taken {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.ended {
			whole++
		}
		if s.brokenOff {
			broken++
		}
		if s.versions["v1"] > 0 {
			ofFirst++
		}
		record.printf("stream s%d: %d tries, %d refused, events to %d, by version %v, ended %t", i+1, s.tries, s.refused, s.last, s.versions, s.ended)
	}
	record.say("of %d streams %d have events of v1, %d were broken off, %d hold events of two software versions (%d allowed), %d ended whole", prompts, ofFirst, broken, mixed, mixedAllowed, whole)
	switch {
	case ofFirst <= mixedAllowed:
		cannotRun("%d streams began at v1", ofFirst)
	case trouble && broken < prompts/2:
		cannotRun("%d of %d streams were broken off", broken, prompts)
	case !trouble && whole < prompts:
		cannotRun("%d of %d streams did not end", prompts-whole, prompts)
	}
	return mixed <= mixedAllowed
}
