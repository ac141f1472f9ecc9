package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

const (
	reconnectDelay = 20 * time.Millisecond
	maxReconnects  = 50
)

// caller sends one request and reads its answer, reconnecting as often as necessary.
type caller struct {
	runner *runner
	kind   Kind
	id     string
	node   int
	length vaneyoke.Tokens
	req    client.Request

	text        strings.Builder
	cursor      string
	startedAt   time.Time
	lastText    time.Time
	longestGap  time.Duration
	timeToFirst time.Duration
	gaps        []time.Duration
	reconnects  int
	reason      vaneyoke.FinishReason
}

func (r *runner) newCaller(i int) *caller {
	kind := r.pickKind()
	c := &caller{runner: r, kind: kind, id: fmt.Sprintf("load-%d-%d", r.config.Seed, i), node: r.rng.IntN(len(r.target.Nodes()))}
	if kind.MeanTokens > 0 {
		c.length = vaneyoke.Tokens(1 + kind.MeanTokens/2 + r.rng.IntN(kind.MeanTokens))
		c.req = client.Request{Model: fleet.Model, Messages: []openai.Message{{Role: "user", Content: promptText(r.rng, kind.PromptWords, c.id, c.length)}}}
	}
	return c
}

// promptText returns a prompt that is unique to the request and that sets the length of the answer.
func promptText(rng *rand.Rand, words int, id string, length vaneyoke.Tokens) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s length=%d", id, length)
	for range words {
		fmt.Fprintf(&b, " w%d", rng.IntN(1000))
	}
	return b.String()
}

func (c *caller) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.runner.config.Timeout)
	defer cancel()
	c.startedAt = time.Now()
	if c.kind.MeanTokens == 0 {
		c.callService(ctx)
		return
	}
	err := c.generate(ctx)
	c.runner.recorder.recordAnswer(c, err)
}

// client returns a client of the next node; each reconnection goes to another node, as behind a load balancer.
func (c *caller) client() *client.Client {
	nodes := c.runner.target.Nodes()
	return client.New(c.runner.http, nodes[(c.node+c.reconnects)%len(nodes)], c.runner.target.Key())
}

// generate reads the whole answer; after a lost connection it resumes at the next node.
func (c *caller) generate(ctx context.Context) error {
	for {
		err := c.connect(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if failed, ok := errors.AsType[*client.FailedError](err); ok && !shouldReconnect(failed) {
			return err
		}
		if c.reconnects++; c.reconnects > maxReconnects {
			return err
		}
		time.Sleep(reconnectDelay)
	}
}

// shouldReconnect reports whether a caller tries another node after this failure.
func shouldReconnect(failed *client.FailedError) bool {
	switch failed.Detail.Type {
	case "stopping", "not_fresh", "superseded":
		return true
	}
	return false
}

func (c *caller) connect(ctx context.Context) error {
	header := http.Header{"Idempotency-Key": {c.id}}
	if c.cursor != "" {
		header.Set("Last-Event-ID", c.cursor)
	}
	stream, err := c.client().Generate(ctx, c.req, header)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for chunk, err := range stream.All() {
		if err != nil {
			return err
		}
		c.receive(time.Now(), chunk)
	}
	return nil
}

func (c *caller) receive(now time.Time, chunk client.Chunk) {
	if chunk.Reason != "" {
		c.reason = chunk.Reason
	}
	if chunk.Text == "" {
		return
	}
	if chunk.Cursor != "" {
		c.cursor = chunk.Cursor
	}
	if c.lastText.IsZero() {
		c.timeToFirst = now.Sub(c.startedAt)
	} else {
		gap := now.Sub(c.lastText)
		c.gaps = append(c.gaps, gap)
		c.longestGap = max(c.longestGap, gap)
	}
	c.lastText = now
	c.text.WriteString(chunk.Text)
}

// recordAnswer checks an answer and records it.
func (r *recorder) recordAnswer(c *caller, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	prompt := check.Tokenize(standin.ChatPrompt(c.req.Messages))
	report, violation := check.Answer(prompt, c.text.String())
	if violation != nil {
		r.violation("%s: %s", c.id, violation)
	}
	r.result.Tokens += int64(report.Tokens)
	r.result.Reconnects += c.reconnects
	if err != nil {
		r.result.Failures[failureName(err)]++
		return
	}
	r.checkEnd(c, report)
	r.result.Answers++
	r.result.Seams += len(report.Seams)
	record(r.first, c.timeToFirst)
	for _, gap := range c.gaps {
		record(r.betweenTokens, gap)
	}
	if len(report.Seams) > 0 || c.reconnects > 0 {
		record(r.resume, c.longestGap)
	}
}

// checkEnd checks the length and finish reason of an answer. One token more than requested is allowed, because it may have to complete a character.
func (r *recorder) checkEnd(c *caller, report check.Report) {
	if report.Tokens < c.length || report.Tokens > c.length+1 {
		r.violation("%s: %d tokens in place of %d", c.id, report.Tokens, c.length)
	}
	if c.reason != vaneyoke.FinishStop {
		r.violation("%s: finish reason %q", c.id, c.reason)
	}
}

func failureName(err error) string {
	if failed, ok := errors.AsType[*client.FailedError](err); ok {
		return failed.Detail.Type
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return "connection"
}

// callService makes a call that may run at most once; it is not retried.
func (c *caller) callService(ctx context.Context) {
	body, err := json.Marshal(standin.ServiceCall{Order: c.id})
	if err != nil {
		panic("load: order does not encode: " + err.Error())
	}
	raw, err := c.client().Call(ctx, fleet.Service, "reserve", body, nil)
	recorder := c.runner.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.reported[c.id] = reportedOutcome(err)
	if err != nil {
		recorder.result.Failures[failureName(err)]++
		return
	}
	var answer standin.ServiceAnswer
	if json.Unmarshal(raw, &answer) != nil || answer.Order != c.id {
		recorder.violation("%s: got the answer %q", c.id, raw)
	}
	recorder.result.Answers++
	record(recorder.callTimes, time.Since(c.startedAt))
}

func reportedOutcome(err error) outcome {
	if err == nil {
		return outcomeDone
	}
	if failed, ok := errors.AsType[*client.FailedError](err); ok && failed.Detail.NotRun {
		return outcomeNotRun
	}
	return outcomeUnknown
}
