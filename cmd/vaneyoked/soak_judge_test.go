package main

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	lossSlack   = 200 * time.Millisecond // after its last byte in which an unread request's connection may be closed
	lastShare   = 6                      // the last part of the grace, in which what an engine still works on may be cut off
	earlyShare  = 0.375                  // share of the grace after SIGTERM until which such a request must have been sent
	lateEnd     = time.Second            // past the time that a caller waits, in which its request has to end
	goneFor     = time.Second            // past its end, in which a connection to a process may be found closed
	cutOff      = "answer cut off"
	mostExample = 4 // findings of a kind that are told in full
)

// judge holds what callers saw against what engines ran.
type judge struct {
	grace   time.Duration
	runs    map[string][]*platformtest.Run
	allowed map[string]int      // requests without a whole answer, by why that is allowed
	endings map[string]int      // requests by how they ended
	unlined map[string]int      // requests of which the log has to tell and does not, by kind
	lined   map[string]int      // those of which it does
	found   map[string][]string // what is wrong, by kind, with the request's timeline
}

func newJudge(grace time.Duration, engines []*platformtest.Engine) *judge {
	j := &judge{
		grace: grace, runs: map[string][]*platformtest.Run{}, allowed: map[string]int{}, endings: map[string]int{},
		unlined: map[string]int{}, lined: map[string]int{}, found: map[string][]string{},
	}
	for _, e := range engines {
		for _, run := range e.Runs() {
			j.runs[run.ID()] = append(j.runs[run.ID()], run)
		}
	}
	return j
}

// take judges one request.
func (j *judge) take(a *attempt) {
	runs := j.runs[a.id]
	kind := j.fault(a, runs)
	if kind == "" && a.err != nil {
		var why string
		if why, kind = j.broken(a, runs); kind == "" {
			j.allowed[why]++
		}
	}
	if kind != "" {
		j.found[kind] = append(j.found[kind], timeline(a, runs))
	}
	ending := fmt.Sprint(a.status)
	if a.err != nil {
		ending += " cut"
	}
	j.endings[ending]++
}

// fault returns what is wrong with a request's runs or its answer, whether or not the answer is whole.
func (j *judge) fault(a *attempt, runs []*platformtest.Run) string {
	promise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	switch {
	case promise && len(runs) > 0:
		return "ran though it was refused"
	case strings.HasPrefix(a.path, "/buy/") && len(runs) > 1:
		return "ran twice"
	case slices.ContainsFunc(runs, func(r *platformtest.Run) bool { return r.Body != a.body || r.Target != a.path }):
		return "ran changed"
	case a.status >= 300 && a.status < 500 && !promise:
		return "denied"
	case a.signed != "" && a.answerID != a.id, a.stray > 0:
		return "another answer"
	case a.ended.Sub(a.begun) > a.wait+lateEnd && !a.node.disruptedDuring(a.span()):
		return "held too long"
	case a.status == http.StatusOK && !a.rightText():
		return "wrong answer"
	}
	return ""
}

// rightText reports whether the body of a success is that of an engine, as far as it came.
func (a *attempt) rightText() bool {
	want := "answer from " + a.signed
	if a.stream() {
		want = platformtest.StreamText(0)
	}
	return a.signed != "" && (a.text == want || (a.err != nil && strings.HasPrefix(want, a.text)))
}

// broken says why a request may be without a whole answer, or what is wrong with that.
func (j *judge) broken(a *attempt, runs []*platformtest.Run) (why, wrong string) {
	stop, stopped := a.node.stopDuring(span{a.begun.Add(-goneFor), a.ended})
	switch {
	case a.node.disruptedDuring(a.span()):
		return "node killed or frozen", ""
	case a.status == http.StatusOK && a.stream() && strings.Contains(a.text, "\n\n"):
		return "stream cut after some events", ""
	case len(runs) == 0 && a.written.IsZero():
		return "not written whole", ""
	case len(runs) == 0 && a.ended.Sub(a.written) > lossSlack:
		return "", "lost: taken, not sent on, and given up later"
	case len(runs) == 0 && !stopped && !a.afterClose:
		return "", "closed by a node that does not stop"
	case len(runs) == 0 && a.afterClose:
		return "sent after it was told of the close", ""
	case len(runs) == 0 && a.ended.Before(stop.to.Add(-endSlack)):
		return "crossed the close of an idle connection", ""
	case len(runs) == 0:
		return "crossed the end of the process", ""
	case a.ended.Sub(a.begun) >= a.wait:
		return "deadline", ""
	case slices.ContainsFunc(runs, func(r *platformtest.Run) bool { return r.Fault.Reset || r.Fault.BreakAt > 0 }):
		return "engine broke off", ""
	case stopped && j.workedToTheEnd(a, stop, runs):
		return "engine at work at the end of the grace", ""
	case !stopped:
		return "", "lost: ran, and given up by a node that does not stop"
	case slices.ContainsFunc(runs, silent):
		return "", "lost: sent late to an engine that never answers, and cut off"
	default:
		return "", "lost: ran, and given up by a stopping node"
	}
}

func silent(r *platformtest.Run) bool { return r.Fault.Hang || r.Fault.SilentAt > 0 }

// workedToTheEnd reports whether an engine was at work in the last part of the grace on a request that was sent early.
func (j *judge) workedToTheEnd(a *attempt, stop span, runs []*platformtest.Run) bool {
	late := stop.from.Add(j.grace - j.grace/lastShare)
	early := stop.from.Add(time.Duration(earlyShare * float64(j.grace)))
	return a.begun.Before(early) && slices.ContainsFunc(runs, func(r *platformtest.Run) bool {
		ended, ok := r.EndedAt()
		return !ok || ended.After(late)
	})
}

// timeline tells of a request in milliseconds from its first byte.
func timeline(a *attempt, runs []*platformtest.Run) string {
	ms := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.1f", float64(at.Sub(a.begun))/float64(time.Millisecond))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s at %s: written %s, ended %s of %d ms, status %d, %d bytes, %v", a.id, a.path, a.node.name,
		ms(a.written), ms(a.ended), a.wait.Milliseconds(), a.status, len(a.text), a.err)
	if a.status >= 300 && a.signed == "" {
		fmt.Fprintf(&b, ", %q", strings.TrimSpace(a.text))
	}
	for _, r := range runs {
		ended, _ := r.EndedAt()
		fmt.Fprintf(&b, "\n    ran from %s to %s, met %+v", ms(r.Began), ms(ended), r.Fault)
	}
	if stop, ok := a.node.stopDuring(span{a.begun.Add(-goneFor), a.ended}); ok {
		fmt.Fprintf(&b, "\n    SIGTERM at %s, process ended at %s", ms(stop.from), ms(stop.to))
	}
	if line := a.node.tail(a.id, 3); line != "" {
		b.WriteString("\n    log: " + strings.TrimSpace(line))
	}
	return b.String()
}

var idPattern = regexp.MustCompile(`call-\d{8}`)

// lines counts the requests which an engine got and that did not end well, by whether their node's log names them.
func (j *judge) lines(attempts []*attempt) {
	named := map[*soakNode]map[string]bool{}
	for _, a := range attempts {
		kind := ""
		switch {
		case len(j.runs[a.id]) == 0 || a.node.disruptedDuring(a.span()):
		case a.status == 0:
			kind = "no answer"
		case a.err != nil:
			kind = cutOff
		case a.status >= 500 && a.signed == "":
			kind = fmt.Sprintf("the node's own %d", a.status)
		}
		if kind == "" {
			continue
		}
		if named[a.node] == nil {
			named[a.node] = namedIn(a.node.log)
		}
		if named[a.node][a.id] {
			j.lined[kind]++
		} else {
			j.unlined[kind]++
		}
	}
}

// namedIn returns the requests that a log names.
func namedIn(path string) map[string]bool {
	named := map[string]bool{}
	log, err := os.ReadFile(path)
	if err != nil {
		return named
	}
	for _, id := range idPattern.FindAll(log, -1) {
		named[string(id)] = true
	}
	return named
}

// counts returns how many requests have something wrong, by kind.
func (j *judge) counts() map[string]int {
	counts := map[string]int{}
	for kind, found := range j.found {
		counts[kind] = len(found)
	}
	return counts
}

// report returns what is wrong, with some examples of each kind in full.
func (j *judge) report() []string {
	var report []string
	for _, kind := range slices.Sorted(maps.Keys(j.found)) {
		found := j.found[kind]
		report = append(report, fmt.Sprintf("%d requests: %s", len(found), kind))
		report = append(report, found[:min(mostExample, len(found))]...)
	}
	return report
}
