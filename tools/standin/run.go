package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// defaultTokens is the maximum length of an answer if the request sets none.
const defaultTokens = 256

// engineRun is one run of a stand-in engine. It continues without a reader for EngineConfig.OrphanTimeout, so that its stream can be resumed.
type engineRun struct {
	engine *Engine
	chat   bool
	prompt []vaneyoke.TokenID
	limit  vaneyoke.Tokens
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	changed        *sync.Cond
	tokens         []vaneyoke.TokenID
	reason         vaneyoke.FinishReason
	readers        int
	lastReaderLeft time.Time // when the last reader disconnected
}

func newEngineRun(e *Engine, chat bool, prompt []vaneyoke.TokenID, limit vaneyoke.Tokens) *engineRun {
	if limit == 0 {
		limit = defaultTokens
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &engineRun{engine: e, chat: chat, prompt: prompt, limit: limit, ctx: ctx, cancel: cancel, lastReaderLeft: time.Now()}
	r.changed = sync.NewCond(&r.mu)
	context.AfterFunc(ctx, r.wake)
	return r
}

func (r *engineRun) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}

// generate waits for a slot, processes the prompt and generates the tokens.
func (r *engineRun) generate(salt check.Salt) {
	select {
	case r.engine.slots <- struct{}{}:
	case <-r.ctx.Done():
		return
	}
	defer func() { <-r.engine.slots }()
	hits := r.engine.cache.add(r.prompt)
	uncached := len(r.prompt) - hits
	r.engine.cacheHits.Add(int64(hits))
	r.engine.prefill.Add(int64(uncached))
	timer := time.NewTimer(r.engine.scaleDuration(time.Duration(uncached) * r.engine.config.PrefillPerToken))
	defer timer.Stop()
	length, generated, hasLength := check.AnswerLength(r.prompt)
	prefix, last := check.HashPrefix(r.prompt), r.prompt[len(r.prompt)-1]
	if hasLength && (generated > 0 || length == 0) && generated >= length && !check.EndsMidCharacter(last) {
		r.endWithoutToken(vaneyoke.FinishStop) // the answer is empty, or the prefix already contains all of it
		return
	}
	for n := vaneyoke.Tokens(1); r.awaitNextToken(timer); n++ {
		last = check.NextToken(prefix, last, salt)
		prefix = prefix.Append(last)
		r.engine.decode.Add(1)
		var reason vaneyoke.FinishReason
		switch {
		case hasLength && generated+n >= length && !check.EndsMidCharacter(last):
			reason = vaneyoke.FinishStop
		case n >= r.limit:
			reason = vaneyoke.FinishLength
		}
		r.appendToken(last, reason)
		if reason != "" {
			return
		}
		timer.Reset(r.engine.scaleDuration(r.engine.config.TokenInterval))
	}
}

// awaitNextToken waits until the next token is due; it reports false if the run was cancelled or had no reader for too long.
func (r *engineRun) awaitNextToken(timer *time.Timer) bool {
	select {
	case <-timer.C:
	case <-r.ctx.Done():
		return false
	}
	select {
	case <-r.engine.notPaused():
	case <-r.ctx.Done():
		return false
	}
	return !r.orphaned()
}

func (r *engineRun) orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && time.Since(r.lastReaderLeft) > r.engine.config.OrphanTimeout
}

func (r *engineRun) appendToken(id vaneyoke.TokenID, reason vaneyoke.FinishReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, id)
	r.reason = reason
	r.changed.Broadcast()
}

// endWithoutToken finishes the run without a further token.
func (r *engineRun) endWithoutToken(reason vaneyoke.FinishReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reason = reason
	r.changed.Broadcast()
}

// addReader registers a reader until the returned function is called.
func (r *engineRun) addReader() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readers--
		r.lastReaderLeft = time.Now()
	}
}

// wait waits for at least one event's tokens or the finish reason, and returns the tokens from the given index on. It reports false if the reader disconnected or the run was cancelled.
func (r *engineRun) wait(ctx context.Context, from int) ([]vaneyoke.TokenID, vaneyoke.FinishReason, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.tokens) < from+max(r.engine.config.ChunkTokens, 1) && r.reason == "" {
		if ctx.Err() != nil || r.ctx.Err() != nil {
			return nil, "", false
		}
		r.changed.Wait()
	}
	return r.tokens[from:], r.reason, true
}

func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	run := e.findRun(r.PathValue("id"))
	from, err := strconv.Atoi(r.Header.Get(engine.HeaderLastEventID))
	if run == nil || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.resumes.Add(1)
	run.serve(w, r, from)
}

// serve writes the run's events, starting with the token at index from.
func (r *engineRun) serve(w http.ResponseWriter, req *http.Request, from int) {
	defer r.addReader()()
	defer context.AfterFunc(req.Context(), r.wake)()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	var text []byte
	var event []byte
	first := from == 0
	if from > 0 {
		text = r.withheldText(from)
	}
	for {
		tokens, reason, ok := r.wait(req.Context(), from)
		if !ok || !r.engine.alive(req) {
			panic(http.ErrAbortHandler)
		}
		if len(tokens) == 0 {
			_, _ = w.Write(r.appendFinish(event[:0], reason))
		}
		for len(tokens) > 0 {
			chunk := tokens[:min(max(r.engine.config.ChunkTokens, 1), len(tokens))]
			tokens = tokens[len(chunk):]
			from += len(chunk)
			complete := 0
			for _, id := range chunk {
				text = check.AppendText(text, id)
				if !check.EndsMidCharacter(id) {
					complete = len(text)
				}
			}
			event = r.appendEvent(event[:0], from, chunk, text[:complete], first)
			first = false
			text = append(text[:0], text[complete:]...)
			if reason != "" && len(tokens) == 0 {
				event = r.appendFinish(event, reason)
			}
			event = r.engine.injectEventFaults(event)
			if _, err := w.Write(event); err != nil {
				return
			}
		}
		if control.Flush() != nil || reason != "" {
			return
		}
	}
}

// withheldText returns the start of a character that was not sent with the event before index from because it was incomplete.
func (r *engineRun) withheldText(from int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from > len(r.tokens) || !check.EndsMidCharacter(r.tokens[from-1]) {
		return nil
	}
	return check.AppendText(nil, r.tokens[from-1])
}

// appendEvent appends the server-sent event for a chunk of tokens.
func (r *engineRun) appendEvent(buf []byte, end int, ids []vaneyoke.TokenID, text []byte, first bool) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(end), 10)
	buf = append(buf, "\ndata: {\"id\":\"run\",\"choices\":[{\"index\":0,"...)
	if first {
		prompt, _ := json.Marshal(r.prompt)
		buf = append(buf, `"prompt_token_ids":`...)
		buf = append(buf, prompt...)
		buf = append(buf, ',')
	}
	buf = append(buf, `"token_ids":[`...)
	for i, id := range ids {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, int64(id), 10)
	}
	if r.chat {
		buf = append(buf, `],"delta":{"content":"`...)
		buf = append(buf, text...)
		return append(buf, "\"},\"finish_reason\":null}]}\n\n"...)
	}
	buf = append(buf, `],"text":"`...)
	buf = append(buf, text...)
	return append(buf, "\",\"finish_reason\":null}]}\n\n"...)
}

func (r *engineRun) appendFinish(buf []byte, reason vaneyoke.FinishReason) []byte {
	buf = append(buf, "data: {\"id\":\"run\",\"choices\":[{\"index\":0,\"token_ids\":[],\"text\":\"\",\"finish_reason\":\""...)
	buf = append(buf, reason...)
	return append(buf, "\"}]}\n\ndata: [DONE]\n\n"...)
}

// injectEventFaults applies the faults that change events.
func (e *Engine) injectEventFaults(event []byte) []byte {
	if e.malformedEvents.Load() > 0 && e.malformedEvents.Add(-1) >= 0 {
		return append(event[:len(event)/2], "\n\n"...)
	}
	if e.errorEvents.Load() > 0 && e.errorEvents.Add(-1) >= 0 {
		return append(event[:0], "data: {\"error\":{\"message\":\"out of memory\"}}\n\n"...)
	}
	return event
}

// serveUnary sends the answer in one body. A chat request with tools gets a call of the tool "lookup".
func (r *engineRun) serveUnary(w http.ResponseWriter, req *http.Request, tools bool) {
	defer r.addReader()()
	defer context.AfterFunc(req.Context(), r.wake)()
	var text []byte
	from := 0
	for {
		tokens, reason, ok := r.wait(req.Context(), from)
		if !ok || !r.engine.alive(req) {
			panic(http.ErrAbortHandler)
		}
		for _, id := range tokens {
			text = check.AppendText(text, id)
		}
		from += len(tokens)
		if reason != "" {
			writeJSON(w, http.StatusOK, r.unaryResponse(string(text), reason, from, tools))
			return
		}
	}
}
