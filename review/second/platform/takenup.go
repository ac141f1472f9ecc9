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
	minTakenUp = 12                      // streams that are taken up again from which on the rule counts
	comesBack  = 4500 * time.Millisecond // how long a client waits before it takes its stream up, once
)

// share is how many of the tries of some streams went on.
type share struct{ tried, wentOn int }

func (s share) of() float64 {
	if s.tried == 0 {
		return 0
	}
	return float64(s.wentOn) / float64(s.tried)
}

// runTakenUp has engines of two software versions serve side by side, kills the processes of all nodes at the same moment, and lets clients take their streams up again once all machines
// are in touch again.
func runTakenUp(trouble bool, dir string) bool {
	store := platformtest.NewStore()
	store.Put("op", "config", streamConfig(1))
	var all []*streamEngine
	for i, zone := range []string{"medina-hall", "raqqada-hall", "sbikha-hall"} {
		all = append(all, newStreamEngine(fmt.Sprintf("i-first%d", i+1), streamService, zone, "v1", 2*streamEvents, streamPace))
		all = append(all, newStreamEngine(fmt.Sprintf("i-second%d", i+1), streamService, zone, "v2", 2*streamEvents, streamPace))
	}
	for _, e := range all {
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
	record.say("%d nodes are ready, three engines each of v1 and v2 serve; trouble: %t", len(nodes), trouble)
	time.Sleep(3 * time.Second)
	began := time.Now()
	taken := make([]*takenStream, streams)
	var clients sync.WaitGroup
	for i := range taken {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &streamClient{nodes: nodes, path: streamPath + "catalogue", deadline: began.Add(streamWait), maxTries: 2, pause: comesBack}
			taken[i] = c.run(fmt.Sprintf("s%d", i+1))
		}()
	}
	time.Sleep(4 * time.Second)
	inTouch := time.Now()
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
		inTouch = time.Now().Add(bounds.contact)
		for _, n := range nodes {
			n.rest(false)
		}
		record.say("all nodes are ready again; they are in touch from %s later", bounds.contact)
	}
	time.Sleep(time.Until(inTouch))
	// New streams, as many, over the same time.
	fresh := make([]*takenStream, streams)
	for i := range fresh {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			c := &streamClient{nodes: nodes, path: streamPath + "catalogue", deadline: time.Now().Add(streamWait), maxTries: 1}
			fresh[i] = c.run(fmt.Sprintf("n%d", i+1))
		}()
	}
	clients.Wait()
	killAll()
	var again, begun share
	mixed, whole, broken := 0, 0, 0
	for _, s := range taken {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.ended {
			whole++
		}
		if s.brokenOff {
			broken++
		}
		tried, wentOn := false, false
		for _, t := range s.takenUp {
			if t.at.After(inTouch) {
				tried, wentOn = true, wentOn || t.wentOn
			}
		}
		if tried {
			again.tried++
			if wentOn {
				again.wentOn++
			}
		}
	}
	for _, s := range fresh {
		begun.tried++
		if s.last > 0 {
			begun.wentOn++
		}
	}
	record.say("of %d streams %d were broken off, %d ended whole, %d hold events of two versions", streams, broken, whole, mixed)
	record.say("at machines in touch %d of %d streams that were taken up again went on, and %d of %d new ones began; engines of both versions serve all the while", again.wentOn, again.tried, begun.wentOn, begun.tried)
	if !trouble {
		if whole < streams {
			cannotRun("%d of %d streams did not end", streams-whole, streams)
		}
		return true
	}
	if broken < streams || begun.wentOn < streams/2 {
		cannotRun("%d of %d streams were broken off, %d new ones began", broken, streams, begun.wentOn)
	}
	if again.tried < minTakenUp {
		cannotRun("%d streams were taken up again at machines in touch", again.tried)
	}
	return again.of() >= begun.of()/2
}
