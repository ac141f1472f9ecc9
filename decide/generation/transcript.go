package generation

import (
	"bytes"

	"github.com/vaneyoke/vaneyoke"
)

// Transcript is the answer so far: its token ids and their text.
type Transcript struct {
	Prompt    []vaneyoke.TokenID // nil until an engine reported the prompt's token ids
	IDs       []vaneyoke.TokenID
	Text      []byte // text of all ids; append-only, except that a stop string truncates it
	Visible   int    // bytes of Text that no stop string can truncate any more
	Forgotten int    // bytes before Text that were delivered and dropped
	Trims     int    // times that ids were removed from the end; an earlier copy is then no longer a prefix

	tailUncertain bool // whether the engine may still buffer text of the last ids
}

// Len returns the number of tokens.
func (t *Transcript) Len() vaneyoke.Tokens { return vaneyoke.Tokens(len(t.IDs)) }

// Usage returns the token usage if the answer ended here.
func (t *Transcript) Usage() vaneyoke.Usage {
	return vaneyoke.Usage{Prompt: vaneyoke.Tokens(len(t.Prompt)), Completion: t.Len()}
}

// Forget drops the text before an offset within the whole answer, which must be visible and delivered. Only an opaque answer may be forgotten: no
// other attempt needs its text.
func (t *Transcript) Forget(offset int) {
	n := min(max(offset-t.Forgotten, 0), t.Visible)
	t.Text = t.Text[n:]
	t.Visible -= n
	t.Forgotten += n
}

// Prefix returns a new slice of the ids that an engine needs to continue from here.
func (t *Transcript) Prefix() []vaneyoke.TokenID {
	prefix := make([]vaneyoke.TokenID, 0, len(t.Prompt)+len(t.IDs))
	prefix = append(prefix, t.Prompt...)
	return append(prefix, t.IDs...)
}

// add appends a batch and reports whether its text completes a stop string.
func (t *Transcript) add(ids []vaneyoke.TokenID, text []byte, stop Stop) bool {
	t.IDs = append(t.IDs, ids...)
	t.tailUncertain = len(ids) > 1
	t.Text = append(t.Text, text...)
	end, matched := stop.match(t.Text, t.Visible)
	if matched {
		t.Text = t.Text[:end]
	}
	t.Visible = end
	return matched
}

// trim removes the ids at the end whose text was buffered, and returns their number.
func (t *Transcript) trim(buffered vaneyoke.Tokens) vaneyoke.Tokens {
	buffered = max(min(buffered, t.Len()), 0)
	if buffered > 0 {
		t.Trims++
	}
	t.IDs = t.IDs[:t.Len()-buffered]
	t.tailUncertain = false
	return buffered
}

// revealAll makes the whole text visible.
func (t *Transcript) revealAll() { t.Visible = len(t.Text) }

// Stop is the set of strings that end an answer.
type Stop struct {
	Strings []string
	Include bool // whether the matched string stays in the answer
}

// match finds the earliest stop string that starts at or after from, and returns where the answer then ends. Without a match it returns the
// end of the text that cannot become part of a stop string.
func (s Stop) match(text []byte, from int) (end int, matched bool) {
	if len(s.Strings) == 0 {
		return len(text), false
	}
	first := -1
	for _, stop := range s.Strings {
		at := bytes.Index(text[from:], []byte(stop))
		if at >= 0 && (first < 0 || from+at < first) {
			first = from + at
			end = s.cut(first, stop)
		}
	}
	if first >= 0 {
		return end, true
	}
	return max(from, len(text)-s.partialMatch(text)), false
}

func (s Stop) cut(at int, stop string) int {
	if s.Include {
		return at + len(stop)
	}
	return at
}

// partialMatch returns the length of the longest suffix of text that is a proper prefix of a stop string.
func (s Stop) partialMatch(text []byte) int {
	longest := 0
	for _, stop := range s.Strings {
		for n := min(len(stop)-1, len(text)); n > longest; n-- {
			if bytes.HasSuffix(text, []byte(stop[:n])) {
				longest = n
			}
		}
	}
	return longest
}
