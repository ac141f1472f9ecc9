package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shoenig/test/must"
)

const (
	nearlyOver     = 0.9 // share of a request's time from which its answer may end incomplete
	maxLoggedLines = 10  // violations of a kind whose log lines are printed
)

// plannedAborts are the causes of an answer_aborted line that the caller does not bring about.
var plannedAborts = []string{"interrupted", "not_begun", "panicked", "by_handler"}

// verify checks the guarantees for each request: there were planned changes at all times, and no others, so that each incomplete answer counts.
func (s *configSoak) verify(seed uint64) *verifier {
	v := newVerifier(s.grace, s.engines)
	v.isStrict = true
	log := s.readLogs()
	requests, wrong, excused := 0, map[string]bool{}, map[string]bool{}
	for _, c := range s.callers {
		requests += len(c.attempts)
		for _, a := range c.attempts {
			switch {
			case a.err != nil && s.isNearlyOver(a):
				excused[a.id] = true
				v.excused["time nearly over"]++
			case v.verify(a) != "":
				wrong[a.id] = true
			case a.err != nil:
				excused[a.id] = true
			}
		}
	}
	aborts := map[string]int{}
	for _, line := range log.aborts {
		id, cause := field(line, "request"), field(line, "cause")
		aborts[cause+" "+field(line, "code")]++
		if slices.Contains(plannedAborts, cause) && !wrong[id] && !excused[id] && !endsUnreadRequest(line) {
			kind := "answer_aborted of a request whose caller saw no incomplete answer: " + cause
			v.violations[kind] = append(v.violations[kind], line)
		}
	}
	s.t.Logf("seed %d: %d configurations, %d silences, %d stops (longest %v, ends %v), %d SIGHUP, %d engines replaced; %d requests, outcomes %v; excused without a "+
		"complete answer %v; aborted answers by cause and code %v; violations %v", seed, s.version, s.silences, s.stops.Load(), s.longestStop, s.processEnds,
		s.hangups, s.replaced, requests, v.outcomes, v.excused, aborts, v.violationCounts())
	for _, line := range s.violations {
		s.t.Log(line)
	}
	for kind, found := range v.violations {
		s.t.Logf("%d requests: %s", len(found), kind)
		for _, timeline := range found[:min(maxLoggedLines, len(found))] {
			s.t.Logf("%s\n%s", timeline, strings.Join(log.lines[requestIDPattern.FindString(timeline)], ""))
		}
	}
	return v
}

// isNearlyOver reports whether a request had used most of the time that its caller or its route gave it.
func (s *configSoak) isNearlyOver(a *attempt) bool {
	limit := min(a.wait, s.routes.shortestTimeout(a.span()))
	return a.ended.Sub(a.began) >= time.Duration(nearlyOver*float64(limit))
}

// endsUnreadRequest reports whether a stopping node closed the connection of a request that it had only just got.
func endsUnreadRequest(line string) bool {
	stopping, _ := strconv.Atoi(field(line, "stopping_ms"))
	age, err := strconv.Atoi(field(line, "age_ms"))
	return err == nil && field(line, "cause") == "not_begun" && stopping >= 0 && age < int(closeSlack.Milliseconds())
}

var fieldPattern = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// field returns a field of a log line.
func field(line, name string) string {
	for _, found := range fieldPattern.FindAllStringSubmatch(line, -1) {
		if found[1] == name {
			return strings.Trim(found[2], `"`)
		}
	}
	return ""
}

// nodeLogs are the lines of all nodes' logs.
type nodeLogs struct {
	lines  map[string][]string // by request
	aborts []string            // of the event answer_aborted
}

// readLogs reads the logs of all nodes; the lines of a request begin with the name of their log.
func (s *soak) readLogs() nodeLogs {
	logs := nodeLogs{lines: map[string][]string{}}
	paths, err := filepath.Glob(filepath.Join(s.logs, "*.log"))
	must.NoError(s.t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		must.NoError(s.t, err)
		for raw := range bytes.Lines(text) {
			line := string(raw)
			id := requestIDPattern.FindString(line)
			if id != "" {
				logs.lines[id] = append(logs.lines[id], fmt.Sprintf("    %s: %s", filepath.Base(path), line))
			}
			if strings.Contains(line, "msg=answer_aborted ") {
				logs.aborts = append(logs.aborts, strings.TrimSpace(line))
			}
		}
	}
	return logs
}
