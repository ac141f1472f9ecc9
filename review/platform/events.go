//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["events"] = playEvents }

const (
	largeEvents   = 40 // of a stream
	streams       = 560
	callersAtOnce = 8
	// Lengths of the data line of an event, without its line feed. At the 9 bytes a token of the site's days, an event holds 56 to 568 tokens, and
	// an answer 23,000 at most; two of them fit into the memory of an engine.
	shortestLine = 512
	longestLine  = 5120
	quietLongest = 4000 // without the disruption
)

func hashOf(parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, parts...)
	return h.Sum64()
}

// eventOf returns an event of a request. It depends on the request's id and the event's number only.
func eventOf(id string, n, longest int) string {
	length := shortestLine + int(hashOf(id, n)%uint64(longest-shortestLine+1))
	line := "data: " + fmt.Sprintf("%s/%d ", id, n)
	return fmt.Sprintf("id: %d\n", n) + line + strings.Repeat("x", length-len(line)) + "\n\n"
}

// playEvents has callers ask for streams whose events hold several tokens with their details.
func playEvents(f *fleet) (int, error) {
	longest := quietLongest
	if f.trouble {
		longest = longestLine
	}
	runStream := func(w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		f.record.printf("engine %s runs %s after event %d", w.Header().Get("X-Instance-Id"), r.Header.Get("X-Attempt-Id"), after)
		for n := after + 1; n <= largeEvents; n++ {
			time.Sleep(2 * time.Millisecond)
			if _, err := io.WriteString(w, eventOf(r.Header.Get("X-Attempt-Id"), n, longest)); err != nil || control.Flush() != nil || r.Context().Err() != nil {
				f.record.printf("engine %s: the connection of %s was closed at event %d", w.Header().Get("X-Instance-Id"), r.Header.Get("X-Attempt-Id"), n)
				panic(http.ErrAbortHandler)
			}
		}
	}
	for i := range 4 {
		e, err := newEngine(i+1, "lm", []string{"a", "b"}[i%2], runStream)
		if err != nil {
			return 0, err
		}
		f.list(e)
	}
	f.configure(7, []routeRow{{
		"name": "r-1", "hostname": host, "pathPrefix": "/draft/", "type": "streaming", "timeoutMs": 25000, "goalMs": 4500, "priority": 1, "service": "lm",
		"maxAttempts": 5, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 700,
	}}, "lm")
	if err := f.startNodes(2); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second) // contactMs, so that the nodes are in touch
	var mu sync.Mutex
	var callers sync.WaitGroup
	wrong, whole, broken, other := 0, 0, 0, 0
	ids := make(chan int)
	for range callersAtOnce {
		callers.Go(func() {
			for i := range ids {
				id := fmt.Sprintf("%016x", hashOf("attempt", i))
				verdict := askStream(f, f.nodes[i%len(f.nodes)], id, longest)
				f.record.printf("caller of %s: %s", id, verdict)
				mu.Lock()
				switch {
				case verdict == "whole":
					whole++
				case strings.HasPrefix(verdict, "WRONG"):
					wrong++
				case strings.HasPrefix(verdict, "broken off"):
					broken++
				default:
					other++
				}
				mu.Unlock()
			}
		})
	}
	for i := range streams {
		ids <- i
	}
	close(ids)
	callers.Wait()
	f.record.printf("%d streams: %d whole, %d complete with wrong bytes, %d broken off, %d others", streams, whole, wrong, broken, other)
	switch {
	case wrong > 0:
		return exitLost, nil
	case whole < streams*9/10:
		return 0, errors.New("too few streams were served")
	default:
		return exitHeld, nil
	}
}

// transport asks for answers without an encoding, as callers do.
var transport = &http.Transport{DisableCompression: true}

// askStream asks for a stream, and compares what comes with what the engine sent.
func askStream(f *fleet, n *node, id string, longest int) string {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.listen+"/draft/2f", strings.NewReader("a prompt"))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	req.Header = http.Header{
		"X-Attempt-Id": {id}, "X-Api-Key": {key}, "X-Deadline-Ms": {"25000"}, "X-Model-Id": {"m"}, "X-Token-Usage": {"500,23000"},
		"X-Prefix-Hash": {"5c1e07a2:200," + id[:8] + ":300"},
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK || res.Header.Get("X-Response-Signature") == "" {
		return fmt.Sprintf("status %d: %.80s", res.StatusCode, got)
	}
	if err != nil {
		return fmt.Sprintf("broken off after %d bytes: %s", len(got), err)
	}
	var want bytes.Buffer
	for i := 1; i <= largeEvents; i++ {
		want.WriteString(eventOf(id, i, longest))
	}
	if bytes.Equal(got, want.Bytes()) {
		return "whole"
	}
	at := 0
	for at < min(len(got), want.Len()) && got[at] == want.Bytes()[at] {
		at++
	}
	event := bytes.Count(want.Bytes()[:at], []byte("\n\n")) + 1
	return fmt.Sprintf("WRONG: complete with status 200, %d bytes in place of %d; differs from byte %d on, in event %d, whose data line has %d bytes",
		len(got), want.Len(), at, event, len(strings.Split(eventOf(id, event, longest), "\n")[1]))
}
