package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// breach is a way in which the pieces of a stream are not those of one answer.
type breach string

const (
	mixedVersions breach = "mixed versions"
	repeatedPiece breach = "repeated"
	missingPiece  breach = "gap"
	hiddenGap     breach = "gap before any step was seen" // which looks right to the node
	closedEarly   breach = "closed early"
	misledEnd     breach = "closed early as a run that skips the rest confirms it"
	joinedRuns    breach = "joined runs" // a run was not asked to continue after the piece before its first one
	wrongPiece    breach = "wrong piece" // none that an engine made
)

// tryOfStream is what a caller got by one request for a stream.
type tryOfStream struct {
	attempt, node string
	build         string // of the node; "" if no node answered
	after         int    // number of the last piece that the caller had
	began, ended  time.Time
	status        int // 0 if no node answered
	refusal       string
	pieces        []platformtest.Piece
	rest          string // what follows the last complete piece
	isWhole       bool   // whether the answer ended as a complete one
	isMisled      bool   // whether a run that was asked for what follows the last piece skipped it, and so brought nothing
}

// judgedStream is a stream over all of a caller's tries.
type judgedStream []tryOfStream

// last returns the number of the last piece that the caller has; 0 for none.
func (s judgedStream) last() (number int) {
	for _, try := range s {
		for _, p := range try.pieces {
			number = p.Number
		}
	}
	return number
}

// minSteps is how many steps between the events of a stream a node has to have seen, all of them equal, to know one that is larger.
const minSteps = 3

// breaches returns what is wrong with the stream, and where that came to the caller first.
func (s judgedStream) breaches() map[breach]string {
	found := map[breach]string{}
	var before platformtest.Piece
	buildBefore := ""
	for _, try := range s {
		place := "in an answer of " + try.build
		hasGap := false
		for i, p := range try.pieces {
			isGap := p.Number > before.Number+1
			knowsStep := i > minSteps && !hasGap
			hasGap = hasGap || isGap
			at := place
			if i == 0 && before.Run != "" {
				at = fmt.Sprintf("from %s to %s", buildBefore, try.build)
			}
			for kind, isSeen := range map[breach]bool{
				mixedVersions: before.Run != "" && p.Version != before.Version,
				repeatedPiece: p.Number <= before.Number,
				missingPiece:  isGap && knowsStep,
				hiddenGap:     isGap && !knowsStep,
				joinedRuns:    p.Run != before.Run && p.After != before.Number,
				wrongPiece:    !p.IsRight || p.Number > platformtest.Events,
			} {
				if _, known := found[kind]; isSeen && !known {
					found[kind] = at
				}
			}
			before, buildBefore = p, try.build
		}
		switch isEarly := try.isWhole && before.Number < platformtest.Events; {
		case isEarly && try.isMisled:
			found[misledEnd] = place
		case isEarly:
			found[closedEarly] = place
		}
		if try.isWhole && try.rest != "" {
			found[wrongPiece] = place
		}
	}
	return found
}

// String describes the stream try by try, the pieces of each run together.
func (s judgedStream) String() string {
	var b strings.Builder
	for _, try := range s {
		fmt.Fprintf(&b, "\n    %s at %s of %s, %s to %s, after %d: status %d, whole %v %s", try.attempt, try.node, try.build,
			try.began.Format("05.000"), try.ended.Format("05.000"), try.after, try.status, try.isWhole, try.refusal)
		run := ""
		for _, p := range try.pieces {
			if p.Run != run {
				fmt.Fprintf(&b, "\n        %s, run %s after %d:", p.Version, p.Run, p.After)
				run = p.Run
			}
			fmt.Fprintf(&b, " %d", p.Number)
		}
		if try.rest != "" {
			fmt.Fprintf(&b, "\n        and %q", try.rest)
		}
	}
	return b.String()
}

// streamCounts counts the streams of one run of a driver.
type streamCounts struct {
	streams  int // that were asked for
	began    int // of these, those of which the caller got a piece
	whole    int
	takenUp  int // streams that had begun, and whose callers came back to a node that answered
	wentOn   int // of these, those that went on
	breached int
	kinds    map[breach]int
	places   map[string]int // breaches by kind and place
	refused  map[string]int // refusals of streams that were taken up, by text
}

func newStreamCounts() *streamCounts {
	return &streamCounts{kinds: map[breach]int{}, places: map[string]int{}, refused: map[string]int{}}
}

// add counts a stream, and reports whether it holds a breach.
func (c *streamCounts) add(s judgedStream) bool {
	c.streams++
	hasBegun, isTakenUp, wentOn := false, false, false
	for _, try := range s {
		if hasBegun && try.status != 0 {
			isTakenUp = true
			wentOn = wentOn || len(try.pieces) > 0 || try.isWhole
			if try.refusal != "" {
				c.refused[try.refusal]++
			}
		}
		hasBegun = hasBegun || len(try.pieces) > 0
		if try.isWhole {
			c.whole++
		}
	}
	for counter, counts := range map[*int]bool{&c.began: hasBegun, &c.takenUp: isTakenUp, &c.wentOn: wentOn} {
		if counts {
			*counter++
		}
	}
	breaches := s.breaches()
	for kind, place := range breaches {
		c.kinds[kind]++
		c.places[fmt.Sprint(kind, " ", place)]++
	}
	if len(breaches) > 0 {
		c.breached++
	}
	return len(breaches) > 0
}

// kindsBut returns the numbers of all breaches but those of some kinds.
func (c *streamCounts) kindsBut(kinds []breach) map[breach]int {
	others := maps.Clone(c.kinds)
	maps.DeleteFunc(others, func(kind breach, _ int) bool { return slices.Contains(kinds, kind) })
	return others
}

func (c *streamCounts) String() string {
	text := fmt.Sprintf("%d streams, %d began, %d whole, %d taken up, %d of them went on; %d breached", c.streams, c.began, c.whole, c.takenUp, c.wentOn, c.breached)
	for _, kind := range slices.Sorted(maps.Keys(c.kinds)) {
		text += fmt.Sprintf("; %s %d", kind, c.kinds[kind])
	}
	return text
}

// TestJudgeMissesABreach checks the judge of streams against streams with one breach each.
func TestJudgeMissesABreach(t *testing.T) {
	run := func(version, run string, after, from, to int) string {
		text := ""
		for n := from; n <= to; n++ {
			text += fmt.Sprintf(": made by %s\n: run %s after %d\n%s", version, run, after, platformtest.EventText(n))
		}
		return text
	}
	whole := func(text string) tryOfStream {
		pieces, rest := platformtest.Pieces(text)
		return tryOfStream{build: "new", status: 200, pieces: pieces, rest: rest, isWhole: true}
	}
	cut := func(text string) tryOfStream {
		try := whole(text)
		try.build, try.isWhole = "old", false
		return try
	}
	misled := func(text string) tryOfStream {
		try := whole(text)
		try.isMisled = true
		return try
	}
	first := run("v1", "a", 0, 1, 7)
	cases := map[string]struct {
		stream judgedStream
		want   map[breach]string
	}{
		"one run":                          {judgedStream{whole(run("v1", "a", 0, 1, 20))}, map[breach]string{}},
		"two runs in an answer":            {judgedStream{whole(first + run("v1", "b", 7, 8, 20))}, map[breach]string{}},
		"two tries":                        {judgedStream{cut(first + "id: 8\nda"), whole(run("v1", "b", 7, 8, 20))}, map[breach]string{}},
		"the end alone":                    {judgedStream{cut(run("v1", "a", 0, 1, 20)), whole("")}, map[breach]string{}},
		"not ended":                        {judgedStream{cut(first)}, map[breach]string{}},
		"another version in an answer":     {judgedStream{whole(first + run("v2", "b", 7, 8, 20))}, map[breach]string{mixedVersions: "in an answer of new"}},
		"another version in the next try":  {judgedStream{cut(first), whole(run("v2", "b", 7, 8, 20))}, map[breach]string{mixedVersions: "from old to new"}},
		"begun anew":                       {judgedStream{whole(first + run("v1", "b", 0, 1, 20))}, map[breach]string{repeatedPiece: "in an answer of new", joinedRuns: "in an answer of new"}},
		"one piece twice":                  {judgedStream{whole(first + run("v1", "b", 7, 7, 20))}, map[breach]string{repeatedPiece: "in an answer of new"}},
		"one piece left out":               {judgedStream{whole(first + run("v1", "b", 7, 9, 20))}, map[breach]string{missingPiece: "in an answer of new"}},
		"one piece left out between tries": {judgedStream{cut(first), whole(run("v1", "b", 8, 9, 20))}, map[breach]string{hiddenGap: "from old to new", joinedRuns: "from old to new"}},
		"closed early, confirmed wrongly":  {judgedStream{misled(first)}, map[breach]string{misledEnd: "in an answer of new"}},
		"left out after three steps":       {judgedStream{whole(run("v1", "a", 0, 1, 4) + run("v1", "b", 4, 6, 20))}, map[breach]string{missingPiece: "in an answer of new"}},
		"left out after two steps":         {judgedStream{whole(run("v1", "a", 0, 1, 3) + run("v1", "b", 3, 5, 20))}, map[breach]string{hiddenGap: "in an answer of new"}},
		"left out after unlike steps":      {judgedStream{cut(first), whole(run("v1", "b", 7, 9, 14) + run("v1", "c", 14, 16, 20))}, map[breach]string{hiddenGap: "from old to new"}},
		"run that was asked for others":    {judgedStream{whole(first + run("v1", "b", 3, 8, 20))}, map[breach]string{joinedRuns: "in an answer of new"}},
		"closed too early":                 {judgedStream{whole(first)}, map[breach]string{closedEarly: "in an answer of new"}},
		"closed without a piece":           {judgedStream{whole("")}, map[breach]string{closedEarly: "in an answer of new"}},
		"ends within a piece":              {judgedStream{whole(run("v1", "a", 0, 1, 20) + "id")}, map[breach]string{wrongPiece: "in an answer of new"}},
		"changed piece":                    {judgedStream{whole(run("v1", "a", 0, 1, 19) + ": made by v1\n: run a after 0\nid: 20\ndata: 20\n\n")}, map[breach]string{wrongPiece: "in an answer of new"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			must.MapEq(t, tc.want, tc.stream.breaches())
			must.EqOp(t, len(tc.want) > 0, newStreamCounts().add(tc.stream))
		})
	}
}
