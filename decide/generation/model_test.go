package generation_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/tools/check"
)

// mutation simulates a broken rule of the state machine by changing its events or effects.
type mutation struct {
	event  func(m *model, ev generation.Event) generation.Event
	effect func(m *model, ef generation.Effect) generation.Effect
}

// stream is a run on a modelled engine.
type stream struct {
	prefix []vaneyoke.TokenID
	tokens []vaneyoke.TokenID
	base   vaneyoke.Tokens
	sent   bool
}

// connection is an attempt's connection to a stream.
type connection struct {
	attempt    vaneyoke.Attempt
	stream     *stream
	next       int // index within the stream of the next token
	last       generation.Received
	closed     bool
	promptSent bool // whether the prompt's ids were sent
}

// model drives a generation with events in random order and checks the invariants after each.
type model struct {
	t            *rapid.T
	state        *generation.State
	now          time.Time
	prompt       []vaneyoke.TokenID
	places       []generation.Place
	inspects     []generation.InspectTail
	streams      map[vaneyoke.Attempt]*stream
	conns        []*connection
	possibleRuns int // runs that an engine may have started
	finish       *generation.Finish
	failed       *generation.Fail
	config       generation.Config
	mutation     mutation
	salt         check.Salt
}

func newModel(t *rapid.T, mutation mutation) *model {
	config := generation.DefaultConfig()
	config.Repeatable = rapid.IntRange(0, 4).Draw(t, "once") > 0
	config.Recovery = rapid.SampledFrom([]vaneyoke.Recovery{vaneyoke.RecoverFast, vaneyoke.RecoverFrugal}).Draw(t, "recovery")
	config.UsefulOnly = rapid.Bool().Draw(t, "useful only")
	if rapid.Bool().Draw(t, "limited") {
		config.MaxTokens = vaneyoke.Tokens(rapid.IntRange(1, 12).Draw(t, "limit"))
	}
	length := rapid.IntRange(1, 14).Draw(t, "length")
	m := &model{
		t: t, now: time.Unix(1_700_000_000, 0), mutation: mutation, config: config,
		prompt:  check.Tokenize(fmt.Sprintf("p%d length=%d", rapid.IntRange(0, 99).Draw(t, "prompt"), length)),
		streams: map[vaneyoke.Attempt]*stream{},
	}
	m.state = generation.New(config, rand.New(rand.NewPCG(1, 2)))
	m.state.Handle(m.now, drawForecast(t)) // without a deadline, it changes nothing
	return m
}

// run takes random steps, then healthy ones until the answer ends. It returns the first violated invariant.
func (m *model) run() error {
	if err := m.handle(generation.Admitted{}); err != nil {
		return err
	}
	for range rapid.IntRange(0, 40).Draw(m.t, "steps") {
		if err := m.randomStep(); err != nil {
			return err
		}
	}
	for i := 0; !m.state.Ended(); i++ {
		if i > 400 {
			return errors.New("the generation does not end after 400 healthy steps")
		}
		if err := m.healthyStep(); err != nil {
			return err
		}
	}
	return m.checkResult()
}

func (m *model) randomStep() error {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(m.t, "ms")) * time.Millisecond)
	action := rapid.IntRange(0, 11).Draw(m.t, "action")
	switch {
	case action == 0:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(m.t, "s")) * time.Second)
		return m.handle(generation.Tick{})
	case action <= 2 && len(m.places) > 0:
		return m.answerPlace(rapid.IntRange(0, 3).Draw(m.t, "placed") > 0)
	case action == 7 && len(m.inspects) > 0:
		return m.answerInspect()
	case len(m.conns) == 0:
		return m.handle(generation.Tick{})
	}
	conn := m.conns[rapid.IntRange(0, len(m.conns)-1).Draw(m.t, "link")]
	switch action {
	case 3:
		return m.lose(conn, generation.CauseClosed)
	case 4:
		return m.lose(conn, generation.CauseNotSent)
	case 5:
		return m.handle(&conn.last)
	case 8:
		if conn.next == 0 && !conn.promptSent && !conn.closed && rapid.Bool().Draw(m.t, "refused") {
			conn.closed = true
			return m.refuse(conn)
		}
		return nil
	case 6:
		if conn.next+1 < len(conn.stream.tokens) {
			return m.deliver(conn, conn.next+1, 1) // a token is lost in the connection
		}
		return nil
	default:
		return m.deliver(conn, conn.next, rapid.IntRange(1, 3).Draw(m.t, "batch"))
	}
}

// healthyStep does what a healthy system would do next.
func (m *model) healthyStep() error {
	m.now = m.now.Add(20 * time.Millisecond)
	if len(m.places) > 0 {
		return m.answerPlace(true)
	}
	if len(m.inspects) > 0 {
		return m.answerInspect()
	}
	for i := len(m.conns) - 1; i >= 0; i-- {
		if !m.conns[i].closed {
			return m.deliver(m.conns[i], m.conns[i].next, 1)
		}
	}
	m.now = m.now.Add(5 * time.Second)
	return m.handle(generation.Tick{})
}

func (m *model) answerPlace(ok bool) error {
	p := m.places[0]
	m.places = m.places[1:]
	if !ok {
		return m.handle(generation.NotPlaced{Attempt: p.Attempt, Code: vaneyoke.CodeNoUpstream})
	}
	return m.handle(generation.Placed{Attempt: p.Attempt, Upstream: "engine"})
}

// refuse has an engine reject a run as invalid, so that it did not run.
func (m *model) refuse(conn *connection) error {
	if conn.stream.sent {
		conn.stream.sent = false
		m.possibleRuns--
	}
	return m.handle(generation.Rejected{Attempt: conn.attempt})
}

func (m *model) answerInspect() error {
	inspect := m.inspects[0]
	m.inspects = m.inspects[1:]
	buffered := vaneyoke.Tokens(0)
	if check.EndsMidCharacter(inspect.IDs[len(inspect.IDs)-1]) {
		buffered = 1
	}
	return m.handle(generation.TailInspected{Attempt: inspect.Attempt, Buffered: buffered})
}

func (m *model) lose(conn *connection, cause generation.Cause) error {
	if cause == generation.CauseNotSent && (conn.next > 0 || conn.promptSent || conn.closed) {
		cause = generation.CauseClosed
	}
	if cause == generation.CauseNotSent && conn.stream.sent {
		conn.stream.sent = false
		m.possibleRuns--
	}
	conn.closed = true
	return m.handle(generation.Lost{Attempt: conn.attempt, Cause: cause})
}

// deliver sends up to count tokens of a stream starting at index from, even if the connection was cancelled.
func (m *model) deliver(conn *connection, from, count int) error {
	if !conn.promptSent {
		conn.promptSent = true
		if err := m.handle(generation.PromptTokenized{Attempt: conn.attempt, IDs: conn.stream.prefix}); err != nil {
			return err
		}
	}
	end := min(from+count, len(conn.stream.tokens))
	if from >= end {
		return m.handle(generation.Ended{Attempt: conn.attempt, Reason: m.reason(conn.stream)})
	}
	conn.next = max(conn.next, end)
	conn.last = generation.Received{Attempt: conn.attempt, Batch: vaneyoke.Batch{
		First: conn.stream.base + vaneyoke.Tokens(from),
		IDs:   conn.stream.tokens[from:end],
		Text:  conn.stream.text(from, end),
	}}
	return m.handle(&conn.last)
}

// text returns what an engine's detokenizer returns for a batch: an incomplete character is buffered until the next.
func (s *stream) text(from, end int) []byte {
	start := from
	if from > 0 && check.EndsMidCharacter(s.tokens[from-1]) {
		start--
	}
	if check.EndsMidCharacter(s.tokens[end-1]) {
		end--
	}
	var text []byte
	for _, id := range s.tokens[start:max(start, end)] {
		text = check.AppendText(text, id)
	}
	return text
}

func (m *model) reason(s *stream) vaneyoke.FinishReason {
	if m.config.MaxTokens > 0 && s.base+vaneyoke.Tokens(len(s.tokens)) >= m.config.MaxTokens {
		return vaneyoke.FinishLength
	}
	return vaneyoke.FinishStop
}

// newStream generates all tokens of an attempt's run.
func (m *model) newStream(prefix []vaneyoke.TokenID, base vaneyoke.Tokens) *stream {
	s := &stream{prefix: prefix, base: base, sent: true}
	m.salt++
	length, count, _ := check.AnswerLength(prefix)
	chain, last := check.HashPrefix(prefix), prefix[len(prefix)-1]
	for count < length || check.EndsMidCharacter(last) {
		if m.config.MaxTokens > 0 && count >= m.config.MaxTokens {
			break
		}
		last = check.NextToken(chain, last, m.salt)
		chain = chain.Append(last)
		s.tokens = append(s.tokens, last)
		count++
	}
	return s
}

func (m *model) handle(ev generation.Event) error {
	if m.mutation.event != nil {
		ev = m.mutation.event(m, ev)
	}
	for _, ef := range slices.Clone(m.state.Handle(m.now, ev)) {
		if m.mutation.effect != nil {
			ef = m.mutation.effect(m, ef)
		}
		m.apply(ef)
	}
	return m.checkInvariants()
}

func (m *model) apply(ef generation.Effect) {
	switch ef := ef.(type) {
	case generation.Place:
		m.places = append(m.places, ef)
	case generation.InspectTail:
		m.inspects = append(m.inspects, ef)
	case generation.Start:
		prefix := ef.Prefix
		if prefix == nil {
			prefix = m.prompt
		}
		m.possibleRuns++
		m.streams[ef.Attempt] = m.newStream(prefix, ef.From)
		m.conns = append(m.conns, &connection{attempt: ef.Attempt, stream: m.streams[ef.Attempt]})
	case generation.Resume:
		s := m.streams[ef.Stream]
		m.conns = append(m.conns, &connection{attempt: ef.Attempt, stream: s, next: int(ef.From - s.base), promptSent: true})
	case generation.Cancel:
		m.closeAttempt(ef.Attempt)
	case generation.Finish:
		m.finish = &ef
	case generation.Fail:
		m.failed = &ef
	case generation.Deliver:
	}
}

func (m *model) closeAttempt(attempt vaneyoke.Attempt) {
	for _, conn := range m.conns {
		if conn.attempt == attempt {
			conn.closed = true
		}
	}
	m.places = slices.DeleteFunc(m.places, func(p generation.Place) bool { return p.Attempt == attempt })
}

// checkInvariants checks the number of runs and the text that the caller has received so far.
func (m *model) checkInvariants() error {
	if !m.config.Repeatable && m.possibleRuns > 1 {
		return fmt.Errorf("a non-repeatable request may have run %d times", m.possibleRuns)
	}
	t := m.state.Transcript()
	text := string(t.Text[:t.Visible])
	if cut := m.config.MaxTokens > 0 && t.Len() >= m.config.MaxTokens; cut && m.state.Ended() {
		return nil // a limit may fall within a character, whose text the engine then does not send
	}
	report, err := check.Answer(m.prompt, text)
	if err != nil {
		return err
	}
	shown := t.Len()
	if shown > 0 && check.EndsMidCharacter(t.IDs[shown-1]) {
		shown-- // the engine still buffers its text
	}
	if report.Tokens != shown {
		return fmt.Errorf("the text has %d tokens, the transcript %d", report.Tokens, shown)
	}
	return nil
}

func (m *model) checkResult() error {
	if m.failed != nil {
		if m.failed.Code.Info().NotRun && m.possibleRuns > 0 {
			return fmt.Errorf("code %s promises that nothing was run, but %d runs may have started", m.failed.Code, m.possibleRuns)
		}
		return nil
	}
	if m.finish == nil {
		return errors.New("the generation ended with neither Finish nor Fail")
	}
	want := m.newStream(m.prompt, 0)
	got := m.finish.Usage.Completion
	if limit := m.config.MaxTokens; limit > 0 && got > limit {
		return fmt.Errorf("the answer has %d tokens, the limit is %d", got, limit)
	}
	length, _, _ := check.AnswerLength(m.prompt)
	if got < length && m.finish.Reason != vaneyoke.FinishLength {
		return fmt.Errorf("the answer ended at %d of %d tokens with finish reason %s", got, len(want.tokens), m.finish.Reason)
	}
	return nil
}
