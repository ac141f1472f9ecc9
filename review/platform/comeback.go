//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["comeback"] = playComeback }

const (
	eventsOfStream  = 140
	comebackCallers = 12
	eventInterval   = 20 * time.Millisecond
	// The end of a stream comes with a step of the engine after the one that made the last event, as the end is a token of its own: at
	// most as long after the last event as an event after the one before.
	endAfterLast = eventInterval
	waitMs       = 8000
)

// ask sends a request for a stream on the connection, and returns the head of the answer.
func (c *keptConn) ask(id, prompt string, after int) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(waitMs * time.Millisecond))
	resume := ""
	if after > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\n", after)
	}
	_, err := fmt.Fprintf(c, "POST /draft/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\nX-Model-Id: m\r\n"+
		"X-Token-Usage: 500,700\r\nX-Prefix-Hash: 5c1e07a2:200,%s:300\r\nContent-Length: 8\r\n%s\r\na prompt", host, id, key, waitMs, prompt, resume)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

func comebackEvent(prompt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, prompt, n)
}

// playComeback kills the node of callers who have got all events of their streams, but not yet their end. They come back at the other node, as the
// pages say.
func playComeback(f *fleet) (int, error) {
	var mu sync.Mutex
	var arrived []string // attempts that engines have run
	runStream := func(w http.ResponseWriter, r *http.Request, _ []byte) {
		id, engineID := r.Header.Get("X-Attempt-Id"), w.Header().Get("X-Instance-Id")
		_, prompt, _ := strings.Cut(r.Header.Get("X-Prefix-Hash"), ",")
		prompt, _, _ = strings.Cut(prompt, ":")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		mu.Lock()
		arrived = append(arrived, id)
		mu.Unlock()
		f.record.printf("engine %s runs %s after event %d", engineID, id, after)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		began := time.Now()
		for n := after + 1; n <= eventsOfStream; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n-after) * eventInterval)))
			if _, err := io.WriteString(w, comebackEvent(prompt, n)); err != nil || control.Flush() != nil || r.Context().Err() != nil {
				f.record.printf("engine %s: the connection of %s was closed at event %d", engineID, id, n)
				panic(http.ErrAbortHandler)
			}
		}
		select {
		case <-time.After(endAfterLast):
		case <-r.Context().Done():
			f.record.printf("engine %s: the connection of %s was closed before the end", engineID, id)
			panic(http.ErrAbortHandler)
		}
		f.record.printf("engine %s ends its answer to %s: 200, signed, whole", engineID, id)
	}
	for i := range 4 {
		e, err := newEngine(i+1, "lm", []string{"a", "b"}[i%2], runStream)
		if err != nil {
			return 0, err
		}
		f.list(e)
	}
	f.configure(7, []routeRow{{
		"name": "r-1", "hostname": host, "pathPrefix": "/draft/", "type": "streaming", "timeoutMs": waitMs, "goalMs": 4500, "priority": 1, "service": "lm",
		"maxAttempts": 5, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 700,
	}}, "lm")
	if err := f.startNodes(2); err != nil {
		return 0, err
	}
	time.Sleep(waitMs*time.Millisecond + 2*time.Second) // longer than any stream may last, so that the nodes know the engines for long enough
	first, second := f.nodes[0], f.nodes[1]
	var closed, answered, whole, returned atomic.Int64 // returned: callers who came back after the last event
	var waiting atomic.Int64                           // callers who have all events, but not the end
	killed, begin := make(chan struct{}), make(chan struct{})
	var callers, prepared sync.WaitGroup
	prepared.Add(comebackCallers)
	for i := range comebackCallers {
		callers.Go(func() {
			prompt := fmt.Sprintf("%016x", hashOf("prompt", i))
			back, c, err := prepare(first, second, prompt)
			prepared.Done()
			if err != nil {
				f.record.printf("caller %d: %s", i, err)
				return
			}
			defer func() { _, _ = back.Close(), c.Close() }()
			<-begin
			got, err := readStream(c, prompt+"-1", prompt, 0, func(n int) {
				if n == eventsOfStream {
					waiting.Add(1)
				}
			})
			if err == nil {
				waiting.Add(-1)
				whole.Add(1)
				f.record.printf("caller %d: the stream at %s is whole", i, first.name)
				return
			}
			<-killed
			f.record.printf("caller %d: the stream at %s broke off after event %d (%s); it comes back at %s", i, first.name, len(got), err, second.name)
			if len(got) == eventsOfStream {
				returned.Add(1)
			}
			rest, err := readStream(back, prompt+"-2", prompt, len(got), nil)
			var early *closedError
			switch {
			case errors.As(err, &early):
				mu.Lock()
				passed := slices.Contains(arrived, prompt+"-2")
				mu.Unlock()
				f.record.printf("caller %d: attempt %s-2 after event %d: the kept connection was closed without an answer; run by a sound engine: %t", i, prompt, len(got), passed)
				if passed {
					closed.Add(1)
				}
			case err != nil:
				f.record.printf("caller %d: attempt %s-2 after event %d: %s", i, prompt, len(got), err)
			default:
				answered.Add(1)
				f.record.printf("caller %d: attempt %s-2 after event %d: answered, %d further events, whole", i, prompt, len(got), len(rest))
			}
		})
	}
	prepared.Wait()
	close(begin)
	if f.trouble {
		began := time.Now()
		for waiting.Load() < comebackCallers*2/3 && whole.Load() == 0 && time.Since(began) < 20*time.Second {
			time.Sleep(200 * time.Microsecond)
		}
		n := waiting.Load()
		first.kill()
		f.record.printf("%s is killed; %d of %d callers have all events, but not the end", first.name, n, comebackCallers)
	}
	close(killed)
	callers.Wait()
	f.record.printf("%d streams whole at %s, %d answered at %s, %d kept connections closed by %s without an answer after a sound engine had run the request",
		whole.Load(), first.name, answered.Load(), second.name, closed.Load(), second.name)
	switch {
	case closed.Load() > 3:
		return exitLost, nil
	case f.trouble && returned.Load() <= 3:
		return 0, errors.New("too few callers had all events, but not the end, when the node was killed")
	case !f.trouble && whole.Load() < comebackCallers:
		return 0, errors.New("not all callers were served")
	default:
		return exitHeld, nil
	}
}

// prepare opens a caller's connections to both nodes. The one to the second node, which is kept, carries a short answer.
func prepare(first, second *node, prompt string) (back, c *keptConn, err error) {
	if back, err = dialKept(second); err != nil {
		return nil, nil, err
	}
	if got, err := readStream(back, prompt+"-0", prompt, eventsOfStream-1, nil); err != nil || len(got) != 1 {
		return nil, nil, fmt.Errorf("first request on the kept connection: %d events, %w", len(got), err)
	}
	c, err = dialKept(first)
	return back, c, err
}

// closedError reports that a connection was closed before the head of an answer.
type closedError struct{ err error }

func (e *closedError) Error() string { return e.err.Error() }

// readStream asks for a stream and reads its events.
func readStream(c *keptConn, id, prompt string, after int, seen func(n int)) (events []string, err error) {
	res, err := c.ask(id, prompt, after)
	if err != nil && isClose(err) {
		return nil, &closedError{err}
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return nil, fmt.Errorf("status %d: %.120s", res.StatusCode, text)
	}
	if res.Header.Get("X-Response-Signature") == "" {
		return nil, errors.New("a success without a signature")
	}
	body := bufio.NewReader(res.Body)
	event := ""
	for {
		line, err := body.ReadString('\n')
		event += line
		if errors.Is(err, io.EOF) && event == "" {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		if line != "\n" {
			continue
		}
		if want := comebackEvent(prompt, after+len(events)+1); event != want {
			return events, fmt.Errorf("event %q in place of %q", event, want)
		}
		events, event = append(events, event), ""
		if seen != nil {
			seen(after + len(events))
		}
	}
}
