package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

const (
	maxHeldShown = 5  // requests of a class that are reported in full
	maxHeldLines = 14 // of a request
)

// notAllowed returns the classes that no request may be of.
func notAllowed(counts map[heldClass]int) map[heldClass]int {
	broken := maps.Clone(counts)
	maps.DeleteFunc(broken, func(class heldClass, _ int) bool { return strings.HasPrefix(string(class), allowedPrefix) })
	return broken
}

// judge classes all requests, and reports those that no rule allows.
func (s *heldSoak) judge(seed uint64) map[heldClass]int {
	j := &heldJudge{verifier: newVerifier(s.grace, s.engines), logs: s.readLogs(), cuts: s.cuts}
	counts, examples, reasons, refusals := map[heldClass]int{}, map[heldClass][]*heldAttempt{}, map[string]int{}, map[string]int{}
	held, slow, cut := 0, 0, 0
	for _, a := range s.taken {
		if a.plan.isHeld() {
			held++
		}
		if a.plan.slowPause > 0 {
			slow++
		}
		if len(j.runs[a.id]) > 0 && slices.ContainsFunc(s.cuts[a.node], span{a.began, a.ended}.overlaps) {
			cut++
		}
		class := j.class(a)
		counts[class]++
		examples[class] = append(examples[class], a)
		if class == allowedBroke {
			reasons[j.reason(a.id)]++
		}
		if class == heldRefusedDue {
			refusals[j.refusal(a.id)]++
		}
	}
	s.t.Logf("%s, seed %d: %d stops (longest %v, ends %v), %d SIGHUP, %d configurations, %d requests, of which %d held back, %d read slowly, %d ran from nodes that lost their paths; after engines broke off: %v; refused and would have ended in time: %v",
		s.commit, seed, s.stops.Load(), s.longestStop, s.processEnds, s.hangups, s.version, len(s.taken), held, slow, cut, reasons, refusals)
	for _, violation := range s.violations {
		s.t.Log(violation)
	}
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		s.t.Logf("%6d %s", counts[class], class)
	}
	for _, class := range slices.Sorted(maps.Keys(notAllowed(counts))) {
		for _, a := range examples[class][:min(maxHeldShown, len(examples[class]))] {
			s.t.Logf("%s\n%s", class, j.describe(a))
		}
	}
	return counts
}

// describe returns what the caller of a request saw, its runs, and the lines of all nodes that name it.
func (j *heldJudge) describe(a *heldAttempt) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n    plan %+v, connection %v old, kept %t; head of the answer after %v, %s", timeline(&a.attempt, j.runs[a.id]), a.plan,
		a.began.Sub(a.dialed), a.isKept, max(a.answered.Sub(a.began), 0), a.howCut())
	if stop, ok := a.stopOf(); ok {
		fmt.Fprintf(&b, ", head at %v and end at %v of the stop", a.began.Sub(stop.from), a.ended.Sub(stop.from))
		if !a.written.IsZero() {
			fmt.Fprintf(&b, ", last byte at %v", a.written.Sub(stop.from))
		}
	}
	lines := j.logs.lines[a.id]
	return b.String() + "\n" + strings.Join(lines[:min(maxHeldLines, len(lines))], "")
}

// heldTable counts requests by build and class.
type heldTable struct {
	commits []string
	counts  map[string]map[heldClass]int
}

func newHeldTable() *heldTable { return &heldTable{counts: map[string]map[heldClass]int{}} }

func (h *heldTable) add(commit string, counts map[heldClass]int) {
	if h.counts[commit] == nil {
		h.commits, h.counts[commit] = append(h.commits, commit), map[heldClass]int{}
	}
	for class, n := range counts {
		h.counts[commit][class] += n
	}
}

// log writes the table.
func (h *heldTable) log(t *testing.T) {
	classes := map[heldClass]bool{}
	for _, counts := range h.counts {
		for class := range counts {
			classes[class] = true
		}
	}
	text := "\n| class | " + strings.Join(h.commits, " | ") + " |\n| --- |" + strings.Repeat(" --- |", len(h.commits)) + "\n"
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		text += "| " + string(class) + " |"
		for _, commit := range h.commits {
			text += fmt.Sprintf(" %d |", h.counts[commit][class])
		}
		text += "\n"
	}
	t.Log(text)
}
