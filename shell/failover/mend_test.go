package failover

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/journal"
)

func ids(text string) []vaneyoke.TokenID {
	var list []vaneyoke.TokenID
	for _, b := range []byte(text) {
		list = append(list, vaneyoke.TokenID(b))
	}
	return list
}

// TestMend puts a journal and a caller's mark together; each letter is a token.
func TestMend(t *testing.T) {
	cases := map[string]struct {
		journal string // in the journal, from the run "s1"
		from    int    // where the mark's tail begins
		tail    string // in the mark
		held    string // by the caller
		run     string // that gave the mark's last token
		good    bool
		text    string
		resumed bool // whether the journal's run may be read on
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
			d := &journal.Delta{IDs: ids(tc.journal), Text: []byte(tc.journal), Stream: &journal.Stream{Name: "s1"}}
			good := mend(d, &cursor.Cursor{
				Offset: len(tc.held), Digest: cursor.TextDigest([]byte(tc.held)),
				TailFrom: vaneyoke.Tokens(tc.from), TailIDs: ids(tc.tail), TailTextFrom: tc.from, TailText: []byte(tc.tail),
				Stream: cursor.StreamDigest(tc.run),
			})
			must.EqOp(t, tc.good, good)
			must.EqOp(t, tc.text, string(d.Text))
			must.Eq(t, ids(tc.text), d.IDs)
			must.EqOp(t, tc.resumed, d.Stream != nil)
		})
	}
}
