package failover

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
)

// wrongTokens are tokens from which an engine goes on with a stream that is read again after some.
var wrongTokens = map[string]func(from int) int{
	"right":       nil,
	"anew":        func(int) int { return 0 },
	"repeats one": func(from int) int { return from - 1 },
	"skips one":   func(from int) int { return from + 1 },
	"skips five":  func(from int) int { return from + 5 },
}

// Guards against answers that lack tokens, hold some twice, or are closed early, where an engine whose stream is read again sends it from a wrong token on,
// or states other ids than a run's.
func TestStreamThatIsReadAgainGoesOnAtAWrongToken(t *testing.T) {
	eachReadAgain(t, map[string]streamFault{
		"":                             {},
		"its ids count from one again": {ids: func(_, start, i int) int { return i - start + 1 }},
		"its ids after the data":       {event: func(id, token int) string { return fmt.Sprintf("data: %s\nid: %d\n\n", tokenData(token), id) }},
		"keep-alives with ids": {event: func(id, token int) string {
			return fmt.Sprintf("id: %d\ndata: %s\n\nid: %d\n: alive\n\n", id, tokenData(token), id)
		}},
		"in CR LF": {event: func(id, token int) string { return fmt.Sprintf("id: %d\r\ndata: %s\r\n\r\n", id, tokenData(token)) }},
	})
}

// Guards against streams without ids that are read again although nothing tells from which token on the engine sends them.
func TestStreamWithoutIDsIsReadAgainUnchecked(t *testing.T) {
	eachReadAgain(t, map[string]streamFault{"": {event: func(_, token int) string { return "data: " + tokenData(token) + "\n\n" }}})
}

// eachReadAgain has a stream be read again, at its node after a loss or at the next owner's, from each wrong token on. The caller must get the tokens in
// order, and all of them if its answer is whole.
func eachReadAgain(t *testing.T, events map[string]streamFault) {
	for startName, start := range wrongTokens {
		for eventName, fault := range events {
			for way, last := range map[string]vaneyoke.VMID{"at its node": "own", "at another node": "other"} {
				t.Run(strings.Join([]string{way, startName, eventName}, ", "), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newTestFleet(t, "own", "other", "third")
						defer f.close()
						f.engine.fault = fault
						f.engine.fault.start = start
						if last == "own" {
							f.engine.fault.breaksAt = 20
						}
						c := newTestCaller(f, true, true)
						code := c.ask(t, "own", 6*time.Second)
						if code == vaneyoke.CodeCallerGone {
							code = c.ask(t, last, 20*time.Second)
						}
						t.Log(code, f.engine.count(), "runs")
						must.StrHasPrefix(t, c.text, answerText())
						if code == vaneyoke.CodeOK {
							must.EqOp(t, answerText(), c.text)
						}
					})
				})
			}
		}
	}
}

// Guards against an answer that repeats or lacks text, because the ids of a journal and of a cursor's tail are of two runs that split the same text into
// other tokens.
func TestTailOfOtherTokensIsJoined(t *testing.T) {
	cases := map[string]struct {
		journal, tail []vaneyoke.TokenID // the tail from the third token on
	}{
		"the journal has more tokens": {[]vaneyoke.TokenID{'a', 'b', 1, 2}, []vaneyoke.TokenID{'c', 'd'}},
		"the tail has more tokens":    {[]vaneyoke.TokenID{'a', 'b', 'c'}, []vaneyoke.TokenID{1, 2, 'd'}},
		"as many":                     {[]vaneyoke.TokenID{'a', 'b', 1}, []vaneyoke.TokenID{'c', 'd'}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := &journal.Delta{IDs: tc.journal, Text: []byte("abc"), Stream: &journal.Stream{Name: "s1"}}
			matches := applyCursorTail(d, &cursor.Cursor{
				Offset: 4, Digest: cursor.TextDigest([]byte("abcd")), TailFrom: 2, TailIDs: tc.tail, TailTextFrom: 2, TailText: []byte("cd"),
				Stream: cursor.StreamDigest("s2"),
			})
			must.False(t, matches, must.Sprintf("%v %q", d.IDs, d.Text))
		})
	}
}

// Guards against answers that lack tokens or hold some twice where two nodes go on with one answer, because its owner was silent as another node took it
// over, and its caller goes from one to the other and back.
func TestTwoOwnersMixTheirTokens(t *testing.T) {
	for startName, start := range wrongTokens {
		for _, silent := range []time.Duration{3 * time.Second, 6 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(startName, ", silent for ", silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, "own", "other", "third")
					defer f.close()
					f.engine.fault.start = start
					stays, moves := newTestCaller(f, true, true), newTestCaller(f, true, true)
					codes := make(chan vaneyoke.Code)
					go func() { codes <- stays.ask(t, "own", 25*time.Second) }()
					must.EqOp(t, vaneyoke.CodeCallerGone, moves.ask(t, "own", 5*time.Second))
					f.spoil("own", peerIsSilent)
					time.AfterFunc(silent, func() { f.spoil("own", 0) })
					code := moves.ask(t, "other", 4*time.Second)
					for _, vm := range []vaneyoke.VMID{"own", "third", "other"} {
						if code == vaneyoke.CodeCallerGone || code == vaneyoke.CodeInterrupted || code == vaneyoke.CodeSuperseded {
							code = moves.ask(t, vm, 8*time.Second)
						}
					}
					stayed := <-codes
					t.Log(code, stayed, f.engine.count(), "runs", len(moves.text), len(stays.text))
					for _, c := range []*testCaller{stays, moves} {
						must.StrHasPrefix(t, c.text, answerText())
					}
					if code == vaneyoke.CodeOK {
						must.EqOp(t, answerText(), moves.text)
					}
					if stayed == vaneyoke.CodeOK {
						must.EqOp(t, answerText(), stays.text)
					}
				})
			})
		}
	}
}
