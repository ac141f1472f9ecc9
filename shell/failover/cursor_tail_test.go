package failover

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
)

func tokenIDs(text string) []vaneyoke.TokenID {
	var list []vaneyoke.TokenID
	for _, b := range []byte(text) {
		list = append(list, vaneyoke.TokenID(b))
	}
	return list
}

// TestApplyCursorTail applies the tail of a cursor to a journal. Each letter is a token.
func TestApplyCursorTail(t *testing.T) {
	cases := map[string]struct {
		journal string // text of the journal, from the run "s1"
		from    int    // position of the cursor's tail
		tail    string // in the cursor
		held    string // text that the caller holds
		run     string // the run of the cursor's last token
		matches bool
		text    string
		resumed bool // whether the journal's run can be resumed
	}{
		"journal has all":           {"abcd", 4, "", "abcd", "s1", true, "abcd", true},
		"journal has more":          {"abcdef", 2, "cd", "abcd", "s1", true, "abcdef", true},
		"tail fills up":             {"ab", 2, "cd", "abcd", "s1", true, "abcd", true},
		"tail overlaps":             {"abc", 2, "cd", "abcd", "s1", true, "abcd", true},
		"tail of another run":       {"ab", 2, "cd", "abcd", "s2", true, "abcd", false},
		"gap before the tail":       {"a", 2, "cd", "abcd", "s1", false, "a", true},
		"journal is another answer": {"axcd", 4, "", "abcd", "s1", false, "axcd", true},
		"nothing is held":           {"", 0, "", "", "s1", true, "", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := &journal.Delta{IDs: tokenIDs(tc.journal), Text: []byte(tc.journal), Stream: &journal.Stream{Name: "s1"}}
			matches := applyCursorTail(d, &cursor.Cursor{
				Offset: len(tc.held), Digest: cursor.TextDigest([]byte(tc.held)),
				TailFrom: vaneyoke.Tokens(tc.from), TailIDs: tokenIDs(tc.tail), TailTextFrom: tc.from, TailText: []byte(tc.tail),
				Stream: cursor.StreamDigest(tc.run),
			})
			must.EqOp(t, tc.matches, matches)
			must.EqOp(t, tc.text, string(d.Text))
			must.Eq(t, tokenIDs(tc.text), d.IDs)
			must.EqOp(t, tc.resumed, d.Stream != nil)
		})
	}
}

// Guards against an answer whose tail is from another run and that goes on at another software version.
func TestTailOfAnotherRunKeepsTheVersion(t *testing.T) {
	pin := vaneyoke.Pin{IsSet: true, Version: "v1"}
	d := &journal.Delta{IDs: tokenIDs("ab"), Text: []byte("ab"), Stream: &journal.Stream{Name: "s1", Upstream: "engine-1", Base: 1, Pin: pin}}
	must.True(t, applyCursorTail(d, &cursor.Cursor{
		Offset: 4, Digest: cursor.TextDigest([]byte("abcd")), TailFrom: 2, TailIDs: tokenIDs("cd"), TailTextFrom: 2, TailText: []byte("cd"), Stream: cursor.StreamDigest("s2"),
	}))
	must.Eq(t, &journal.Stream{Pin: pin}, d.Stream)
}
