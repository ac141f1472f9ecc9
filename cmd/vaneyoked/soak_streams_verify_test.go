package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	eventEnd         = "\n\n"
	maxStreamReports = 6  // violations of a kind that are reported in full
	maxStreamLines   = 60 // log lines of a stream that are printed
)

// crashMarks are in the output of a process that has found a fault of its own.
var crashMarks = []string{"WARNING: DATA RACE", "fatal error: ", "panic: ", "msg=handler_panicked", "msg=session_panicked"}

// digits differ between refusals of the same kind.
var digits = regexp.MustCompile(`[0-9]+`)

// streamViolation is a broken promise to the caller of a stream.
type streamViolation struct {
	kind   string
	stream *callerStream
}

// take judges a try of a stream, and adds its events to the stream.
func (s *streamSoak) take(st *callerStream, try *streamTry) {
	st.tries = append(st.tries, try)
	s.results.Lock()
	defer s.results.Unlock()
	ending := fmt.Sprint(try.status)
	if try.status != 0 && !try.isWhole {
		ending += " cut"
	}
	s.outcomes[ending]++
	if try.status != 0 && try.status != http.StatusOK {
		s.refused[digits.ReplaceAllString(strings.TrimSpace(try.text), "#")]++
	}
	if try.status != http.StatusOK {
		return
	}
	whole := completeEvents(try.text)
	unmarked, versions := platformtest.Unmark(whole)
	want := platformtest.StreamText(try.after)
	for _, v := range versions {
		if !slices.Contains(st.versions, v) {
			st.versions = append(st.versions, v)
		}
	}
	count := strings.Count(whole, eventEnd)
	if try.after > 0 && count > 0 {
		s.wentOn++
	}
	for kind, isBroken := range map[string]bool{
		"pieces are lost, repeated or out of order": !strings.HasPrefix(want, unmarked),
		"an answer holds events of two versions":    len(versions) > 1,
		"tries hold events of two versions":         len(versions) <= 1 && len(st.versions) > 1 && !st.isDoubled,
		"closed as whole before the last piece":     try.isWhole && unmarked != want,
		"whole with a part of an event":             try.isWhole && whole != try.text,
		"pieces of another request":                 !isOnly(platformtest.RequestsOf(whole), st.body),
		"answer of another attempt":                 try.answerID != try.id || try.signedBy == "",
		"bytes after the answer":                    try.strayBytes > 0,
	} {
		if isBroken {
			s.broken = append(s.broken, streamViolation{kind, st})
		}
	}
	if st.isDoubled && len(st.versions) > 1 {
		s.sharedMixed++ // an id that two requests share does not tell which one its caller means
	}
	if count > 0 && st.first == "" {
		st.first = try.id
	}
	if try.after+count > st.events {
		st.events = try.after + count
	}
	if try.isWhole && !st.isEnded {
		st.isEnded = true
		s.served.Add(1)
	}
}

// completeEvents returns a text up to the end of its last complete event.
func completeEvents(text string) string {
	if i := strings.LastIndex(text, eventEnd); i >= 0 {
		return text[:i+len(eventEnd)]
	}
	return ""
}

// isOnly reports whether a list holds nothing but one text.
func isOnly(list []string, only string) bool {
	return !slices.ContainsFunc(list, func(text string) bool { return text != only })
}

// countStream counts a stream whose caller does not ask again.
func (s *streamSoak) countStream(st *callerStream) {
	s.results.Lock()
	defer s.results.Unlock()
	switch {
	case st.isEnded:
		s.ended["whole"]++
	case st.events > 0:
		s.ended["broken off"]++
	default:
		s.ended["not begun"]++
	}
	s.ended[fmt.Sprint("of ", min(len(st.tries), 5), " tries or more")]++
}

// report fails on all broken promises.
func (s *streamSoak) report(seed uint64) {
	s.results.Lock()
	defer s.results.Unlock()
	kinds := map[string][]*callerStream{}
	for _, v := range s.broken {
		kinds[v.kind] = append(kinds[v.kind], v.stream)
	}
	s.t.Logf("seed %d: %d answers whole, %d went on; streams %v; %d tries under a shared id went on at another version; tries by status %v, refused %v; disruptions %v; %d configurations; datagrams: %s",
		seed, s.served.Load(), s.wentOn, s.ended, s.sharedMixed, s.outcomes, s.refused, s.disruptions, s.version, s.relay)
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		s.t.Logf("%d streams: %s", len(kinds[kind]), kind)
		for _, st := range kinds[kind][:min(maxStreamReports, len(kinds[kind]))] {
			s.t.Log(s.describe(st))
		}
	}
	s.checkOutput()
	for _, violation := range s.violations {
		s.t.Log(violation)
	}
	must.MapEmpty(s.t, kinds, must.Sprint("see the streams logged above"))
	must.SliceEmpty(s.t, s.violations)
}

// describe returns what the caller of a stream saw, the runs of its tries and the lines of all logs that name them.
func (s *streamSoak) describe(st *callerStream) string {
	var b strings.Builder
	fmt.Fprintf(&b, "stream of %s, first %s, versions %v, %d events, ended %t\n", st.body, st.first, st.versions, st.events, st.isEnded)
	for _, try := range st.tries {
		fmt.Fprintf(&b, "  %s at %s after %d, resumes %q: began %s, took %s, status %d, signed by %s, whole %t, left %t, %d events: %q\n", try.id, try.node.name, try.after, try.resumes,
			try.began.UTC().Format("15:04:05.000"), try.ended.Sub(try.began), try.status, try.signedBy, try.isWhole, try.hasLeft, strings.Count(try.text, eventEnd), try.text)
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				if run.ID() == try.id {
					ended, _ := run.EndedAt()
					fmt.Fprintf(&b, "    ran at %s from %s to %s, Last-Event-Id %q, met %+v\n", e.ID, run.Began.UTC().Format("15:04:05.000"), ended.UTC().Format("15:04:05.000"), run.Header.Get("Last-Event-Id"), run.Fault)
				}
			}
		}
	}
	return b.String() + strings.Join(s.linesOf(st), "")
}

// linesOf returns the first lines of all logs that name a try of a stream.
func (s *streamSoak) linesOf(st *callerStream) (lines []string) {
	paths, _ := filepath.Glob(filepath.Join(s.logs, "*.log"))
	for _, path := range paths {
		text, _ := os.ReadFile(path)
		for line := range bytes.Lines(text) {
			if slices.ContainsFunc(st.tries, func(try *streamTry) bool { return bytes.Contains(line, []byte(try.id)) }) {
				lines = append(lines, fmt.Sprintf("    %s: %s", filepath.Base(path), line))
			}
		}
	}
	return lines[:min(maxStreamLines, len(lines))]
}

// checkOutput records faults that the processes of nodes have written to their logs.
func (s *soak) checkOutput() {
	paths, err := filepath.Glob(filepath.Join(s.logs, "*.log"))
	must.NoError(s.t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		must.NoError(s.t, err)
		for _, mark := range crashMarks {
			if i := strings.Index(string(text), mark); i >= 0 {
				s.violations = append(s.violations, filepath.Base(path)+": "+string(text[i:min(len(text), i+4096)]))
			}
		}
	}
}
