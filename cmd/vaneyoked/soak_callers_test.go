package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// send sends a call to a random node.
func (s *soak) send(ctx context.Context, rng *rand.Rand, call platformtest.Call) (id string, res *http.Response, err error) {
	call.ID = fmt.Sprintf("attempt-%d", s.ids.Add(1))
	call.Host, call.Key = soakHost, soakKey
	req, err := call.Request(ctx, s.randomNode(rng).listen)
	if err != nil {
		return call.ID, nil, err
	}
	res, err = http.DefaultTransport.RoundTrip(req)
	return call.ID, res, err
}

// call sends a call to a service, and records its outcome if it may run at most once.
func (s *soak) call(ctx context.Context, rng *rand.Rand, path string) {
	id, res, err := s.send(ctx, rng, platformtest.Call{Path: path})
	status := 0
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		body, readErr := io.ReadAll(res.Body)
		status = res.StatusCode
		if signed := platformtest.SignedBy(res); status == http.StatusOK && readErr == nil {
			s.served.Add(1)
			if string(body) != "answer from "+signed {
				s.fail("%s %s: answer %q is not that of %q", path, id, body, signed)
			}
		}
	}
	if strings.HasPrefix(path, "/buy/") {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.atMostOnce = append(s.atMostOnce, atMostOnceCall{id: id, status: status})
	}
}

// emptyShare is one out of how many streams ends without an event.
const emptyShare = 8

// stream requests a stream until it is complete. After a broken attempt it resumes after the last complete event, also if that was the last of all.
func (s *soak) stream(ctx context.Context, rng *rand.Rand) {
	path, body, whole := []string{"/tell/x", "/draft/x"}[rng.IntN(2)], "", platformtest.StreamText
	if rng.IntN(emptyShare) == 0 {
		body, whole = platformtest.EmptyPrompt, func(int) string { return "" }
	}
	after := 0
	for try := 0; try < 20 && ctx.Err() == nil; try++ {
		call := platformtest.Call{Path: path, Stream: true, Prompt: fmt.Sprintf("%x", rng.Uint32()), After: after, Body: body}
		id, res, err := s.send(ctx, rng, call)
		if err != nil || res.StatusCode != http.StatusOK {
			if err == nil {
				_ = res.Body.Close()
			}
			time.Sleep(faultPause / 4)
			continue
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		want := whole(after)
		if !strings.HasPrefix(want, string(text)) || (err == nil && string(text) != want) {
			s.fail("stream %s after %d: complete %v, got %q", id, after, err == nil, text)
			return
		}
		if err == nil {
			s.served.Add(1)
			return
		}
		after += strings.Count(string(text), "\n\n")
	}
	if ctx.Err() == nil && whole(after) == "" {
		s.unended.Add(1)
	}
}
