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

// runVersions has the last engines of a software version leave by plan, which serve their streams on, and then kills the processes of all nodes at the same moment.
func runVersions(trouble bool, dir string) bool {
	store := platformtest.NewStore()
	store.Put("op", "config", streamConfig(1))
	one := newStreamEngine("i-first1", streamService, "medina-hall", "v1", streamEvents, streamPace)
	two := newStreamEngine("i-first2", streamService, "raqqada-hall", "v1", streamEvents, streamPace)
	for _, e := range []*streamEngine{one, two} {
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
	record.say("%d nodes are ready; trouble: %t", len(nodes), trouble)
	time.Sleep(3 * time.Second)
	began := time.Now()
	taken := make([]*takenStream, streams)
	var clients sync.WaitGroup
	for i := range taken {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &streamClient{nodes: nodes, path: streamPath + "catalogue", deadline: began.Add(streamWait), maxTries: 12}
			taken[i] = c.run(fmt.Sprintf("s%d", i+1))
		}()
	}
	time.Sleep(time.Second)
	three := newStreamEngine("i-second1", streamService, "sbikha-hall", "v2", streamEvents, streamPace)
	store.Put("servers", three.id, three.entry("ready"))
	record.say("release: %s of v2 has started, beside the two engines of v1", three.id)
	time.Sleep(time.Second)
	store.Delete("servers", one.id)
	record.say("release: the entry of %s has gone; it serves on", one.id)
	time.Sleep(500 * time.Millisecond)
	store.Delete("servers", two.id)
	record.say("taken away: the entry of %s has gone; it serves on", two.id)
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
	mixed, whole, refused := 0, 0, 0
	for i, s := range taken {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.ended {
			whole++
		}
		if s.refused > 0 {
			refused++
		}
		record.printf("stream s%d: %d tries, %d refused, events to %d, by version %v, ended %t", i+1, s.tries, s.refused, s.last, s.versions, s.ended)
	}
	record.say("of %d streams %d hold events of two software versions (%d allowed), %d ended whole, %d met a refusal", streams, mixed, mixedAllowed, whole, refused)
	if !trouble && whole < streams {
		cannotRun("%d of %d streams did not end", streams-whole, streams)
	}
	return mixed <= mixedAllowed
}
