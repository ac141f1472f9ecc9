package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// testEngine runs requests. A run that is streamed goes on without a reader, and can be read again under its name; one with an answer in one body ends with
// its connection.
type testEngine struct {
	mu    sync.Mutex
	runs  map[string]*testRun // by name
	begun int
	fault streamFault
}

// streamFault is how streams are sent; the zero value is as they are to be.
type streamFault struct {
	breaksAt int                          // number of the token before which a stream that is not read again breaks off; 0 for none
	start    func(from int) int           // number of the first token of a stream that is read again after from tokens; nil for the right one
	event    func(id, token int) string   // nil for the usual text
	ids      func(base, start, i int) int // that the event of a token states; nil for the right one
}

type testRun struct {
	began    time.Time
	base     int // tokens that came with the prompt
	canceled chan struct{}
}

const (
	engineWholeTime  = 10 * time.Second       // that an answer in one body takes
	engineFirstToken = 4 * time.Second        // that a stream's first token takes
	engineTokenGap   = 100 * time.Millisecond // between two tokens
	engineTokens     = 60                     // of an answer
)

func newTestEngine() *testEngine { return &testEngine{runs: map[string]*testRun{}} }

// count returns how many runs have begun.
func (e *testEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

// answerText returns the text of the whole answer.
func answerText() string {
	return strings.Join(lo.Times(engineTokens, func(i int) string { return " w" + strconv.Itoa(i) }), "")
}

// RoundTrip answers a request to the engine.
func (e *testEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Method == http.MethodPost {
		body, _ = io.ReadAll(r.Body)
	}
	run, from := e.find(r, body)
	if run == nil {
		return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody}, nil
	}
	if r.Method == http.MethodDelete {
		close(run.canceled)
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
	}
	if r.Method == http.MethodPost && !strings.Contains(string(body), `"stream":true`) {
		select {
		case <-time.After(engineWholeTime):
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole"))}, nil
		case <-run.canceled:
			return nil, io.ErrUnexpectedEOF
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	out, in := io.Pipe()
	context.AfterFunc(r.Context(), func() { _ = in.CloseWithError(r.Context().Err()) })
	go e.stream(in, run, from, r.Method == http.MethodGet)
	return &http.Response{StatusCode: http.StatusOK, Body: out}, nil
}

// find returns the run that a request begins with its body, or names, and the number of tokens that its sender has. It forgets one that is canceled.
func (e *testEngine) find(r *http.Request, body []byte) (run *testRun, from int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost {
		run = &testRun{base: prefixTokens(body), began: time.Now(), canceled: make(chan struct{})}
		e.runs[r.Header.Get(engine.HeaderRequestID)] = run
		e.begun++
		return run, run.base
	}
	name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	for key, values := range r.Header { // Get would look for the canonical form, which no server has made yet
		if strings.EqualFold(key, engine.HeaderLastEventID) {
			from, _ = strconv.Atoi(values[0])
		}
	}
	run = e.runs[name]
	if r.Method == http.MethodDelete {
		delete(e.runs, name)
	}
	if run != nil {
		from += run.base
	}
	return run, from
}

// prefixTokens returns how many tokens of the answer come with the prompt of a request, which has two tokens itself.
func prefixTokens(body []byte) int {
	var fields struct {
		Prompt []int `json:"prompt"`
	}
	_ = json.Unmarshal(body, &fields)
	return max(len(fields.Prompt)-promptTokens, 0)
}

// promptTokens is the number of tokens of each prompt.
const promptTokens = 2

// stream sends the tokens of a run from a number on.
func (e *testEngine) stream(in *io.PipeWriter, run *testRun, from int, isAgain bool) {
	if isAgain && e.fault.start != nil {
		from = e.fault.start(from)
	}
	for i := from; i < engineTokens; i++ {
		if !isAgain && run.base == 0 && i > 0 && i == e.fault.breaksAt {
			_ = in.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		select {
		case <-time.After(time.Until(run.began.Add(engineFirstToken + time.Duration(i)*engineTokenGap))):
		case <-run.canceled:
			_ = in.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		id := i + 1 - run.base
		if isAgain && e.fault.ids != nil {
			id = e.fault.ids(run.base, from, i)
		}
		if _, err := io.WriteString(in, e.event(id, i)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(in, "data: {\"choices\":[{\"index\":0,\"token_ids\":[],\"finish_reason\":\"stop\"}]}\n\n")
	_ = in.Close()
}

// event returns the event of a token.
func (e *testEngine) event(id, token int) string {
	if e.fault.event != nil {
		return e.fault.event(id, token)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, tokenData(token))
}

// tokenData returns the data of the event of a token.
func tokenData(token int) string {
	return fmt.Sprintf(`{"choices":[{"index":0,"prompt_token_ids":[1,2],"token_ids":[%d],"text":" w%d"}]}`, 1000+token, token)
}
