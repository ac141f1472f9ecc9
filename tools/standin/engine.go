package standin

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// EngineConfig sets the speed, capacity and faults of a stand-in engine.
type EngineConfig struct {
	TokenInterval   time.Duration // time between tokens
	PrefillPerToken time.Duration // for each prompt token that is not cached
	Slots           int           // maximum number of concurrent runs; others wait
	ChunkTokens     int           // tokens in each event
	OrphanTimeout   time.Duration // how long a run continues without a reader
	CrashText       string        // the engine crashes when it starts to run a prompt that contains this text; "" for none
	RestartTime     time.Duration // how long the engine refuses connections after such a crash
}

// DefaultEngineConfig returns the configuration of an engine that generates a token every 5 ms.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{TokenInterval: 5 * time.Millisecond, PrefillPerToken: 20 * time.Microsecond, Slots: 64, ChunkTokens: 1, OrphanTimeout: 2 * time.Second}
}

// EngineStats holds an engine's counters.
type EngineStats struct {
	Runs           int64 `json:"runs"`
	PrefillTokens  int64 `json:"prefill_tokens"`
	DecodedTokens  int64 `json:"decode_tokens"`
	Cancels        int64 `json:"cancels"`
	CacheHitTokens int64 `json:"cache_hit_tokens"`
	Resumes        int64 `json:"resumes"`
	OpenRuns       int64 `json:"open_runs"`
	Crashes        int64 `json:"crashes"`
}

// Engine is a stand-in model engine.
type Engine struct {
	server
	config          EngineConfig
	slots           chan struct{}
	cache           prefixCache
	durationPercent atomic.Uint64 // duration of each step in percent of its normal duration
	malformedEvents atomic.Int64  // number of malformed events still to send
	errorEvents     atomic.Int64  // number of error events still to send

	runsMu sync.Mutex
	runs   map[string]*engineRun

	started, prefill, decode, cancels, cacheHits, resumes, crashes atomic.Int64
}

// normalPercent is the value of durationPercent at which nothing is slowed down.
const normalPercent = 100

// NewEngine starts an engine that listens on address.
func NewEngine(address string, config EngineConfig) (*Engine, error) {
	e := &Engine{config: config, slots: make(chan struct{}, config.Slots), runs: map[string]*engineRun{}}
	e.durationPercent.Store(normalPercent)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.PathChat, e.generate)
	mux.HandleFunc("POST "+openai.PathCompletions, e.generate)
	mux.HandleFunc("POST "+engine.PathDetokenize, e.detokenize)
	mux.HandleFunc("GET /v1/streams/{id}", e.resumeStream)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
	err := e.start(address, mux, e.faults().handler(func() any { return e.Stats() }))
	return e, err
}

// salts is incremented for each run of any engine in this process, so that consecutive runs have different salts.
var salts atomic.Uint32

func init() { salts.Store(rand.Uint32()) }

func nextSalt() check.Salt { return check.Salt(salts.Add(1)) }

func (e *Engine) faults() faultHandlers {
	return faultHandlers{
		"kill":      func(r *http.Request, _ Fault) { e.Kill(r) },
		"restore":   func(*http.Request, Fault) { e.Restore() },
		"pause":     func(*http.Request, Fault) { e.pause() },
		"continue":  func(*http.Request, Fault) { e.unpause() },
		"cut-links": func(r *http.Request, _ Fault) { e.closeConnections(r) },
		"slow":      func(_ *http.Request, f Fault) { e.durationPercent.Store(uint64(f.Factor * normalPercent)) },
		"malformed": func(_ *http.Request, f Fault) { e.malformedEvents.Store(int64(f.Count)) },
		"error":     func(_ *http.Request, f Fault) { e.errorEvents.Store(int64(f.Count)) },
	}
}

// Kill ends all runs and connections, as if the process had died. The connection of r, the request that injects the fault, stays open; r may be nil.
func (e *Engine) Kill(r *http.Request) {
	e.setDead(true)
	e.runsMu.Lock()
	for id, run := range e.runs {
		run.cancel()
		delete(e.runs, id)
	}
	e.runsMu.Unlock()
	if r == nil {
		r = &http.Request{}
	}
	e.closeConnections(r)
	e.unpause()
}

// Restore ends a kill, slowdown or pause; the prefix cache is empty afterwards.
func (e *Engine) Restore() {
	e.cache.clear()
	e.durationPercent.Store(normalPercent)
	e.setDead(false)
	e.unpause()
}

// Pause makes the engine hang until Continue is called.
func (e *Engine) Pause() { e.pause() }

// Continue ends a pause.
func (e *Engine) Continue() { e.unpause() }

// CloseConnections closes all connections; runs continue.
func (e *Engine) CloseConnections() { e.closeConnections(&http.Request{}) }

// Stats returns the engine's counters.
func (e *Engine) Stats() EngineStats {
	e.runsMu.Lock()
	open := int64(len(e.runs))
	e.runsMu.Unlock()
	return EngineStats{
		Runs: e.started.Load(), PrefillTokens: e.prefill.Load(), DecodedTokens: e.decode.Load(), Cancels: e.cancels.Load(),
		CacheHitTokens: e.cacheHits.Load(), Resumes: e.resumes.Load(), OpenRuns: open, Crashes: e.crashes.Load(),
	}
}

// engineRequest holds the fields of a request body that the engine reads.
type engineRequest struct {
	Prompt    json.RawMessage   `json:"prompt"`
	Messages  []openai.Message  `json:"messages"`
	MaxTokens vaneyoke.Tokens   `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Tools     []json.RawMessage `json:"tools"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body engineRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prefix, err := body.prefix()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.config.CrashText != "" && body.contains(e.config.CrashText) {
		e.crash(r)
	}
	run := newEngineRun(e, r.URL.Path == openai.PathChat, prefix, body.MaxTokens)
	id := r.Header.Get(engine.HeaderRequestID)
	e.runsMu.Lock()
	e.runs[id] = run
	e.runsMu.Unlock()
	e.started.Add(1)
	go func() {
		run.generate(nextSalt())
		time.AfterFunc(e.config.OrphanTimeout, func() { e.removeRun(id, run) })
	}()
	if body.Stream {
		run.serve(w, r, 0)
		return
	}
	run.serveUnary(w, r, len(body.Tools) > 0)
}

// contains reports whether the prompt contains a text.
func (b *engineRequest) contains(text string) bool {
	return strings.Contains(ChatPrompt(b.Messages), text) || bytes.Contains(b.Prompt, []byte(text))
}

// crash simulates a crash of the engine while it handles a request, and its restart after RestartTime.
func (e *Engine) crash(r *http.Request) {
	time.Sleep(e.config.TokenInterval)
	e.crashes.Add(1)
	e.refuseConnections(e.config.RestartTime)
	e.Kill(r)
	e.Restore()
	panic(http.ErrAbortHandler)
}

// prefix returns the token ids of the prompt; a prompt that is a list of ids is used unchanged.
func (b *engineRequest) prefix() ([]vaneyoke.TokenID, error) {
	if len(b.Messages) > 0 {
		return check.Tokenize(ChatPrompt(b.Messages)), nil
	}
	var ids []vaneyoke.TokenID
	if json.Unmarshal(b.Prompt, &ids) == nil {
		return ids, nil
	}
	var text string
	err := json.Unmarshal(b.Prompt, &text)
	return check.Tokenize(text), err
}

// ChatPrompt renders messages with the stand-in's chat template.
func ChatPrompt(messages []openai.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString("<" + m.Role + "> " + m.Content + " ")
	}
	return b.String()
}

// detokenize returns the text of generated tokens.
func (e *Engine) detokenize(w http.ResponseWriter, r *http.Request) {
	var body engine.DetokenizeBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var text []byte
	for _, id := range body.Tokens {
		text = check.AppendText(text, id)
	}
	writeJSON(w, http.StatusOK, engine.DetokenizeReply{Prompt: string(text)})
}

func (e *Engine) findRun(id string) *engineRun {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	return e.runs[id]
}

func (e *Engine) removeRun(id string, run *engineRun) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	if e.runs[id] == run {
		delete(e.runs, id)
	}
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	if run := e.findRun(r.PathValue("id")); run != nil {
		run.cancel()
		e.cancels.Add(1)
	}
	w.WriteHeader(http.StatusNoContent)
}

// scaleDuration returns d at the engine's current speed.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	return d * time.Duration(e.durationPercent.Load()) / normalPercent
}

// SendMalformedEvents makes the next count events malformed.
func (e *Engine) SendMalformedEvents(count int) { e.malformedEvents.Store(int64(count)) }

// SendErrorEvents replaces the next count events by error events.
func (e *Engine) SendErrorEvents(count int) { e.errorEvents.Store(int64(count)) }
