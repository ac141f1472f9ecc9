package main

import (
	"cmp"
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
	closeSlack         = 200 * time.Millisecond // after a request's last byte, in which the connection of a request that the node has not read may be closed
	finalGraceDivisor  = 6                      // requests that an engine still works on in the last grace/finalGraceDivisor may be cut off
	earlyGraceFraction = 0.375                  // part of the grace after SIGTERM until which such a request must have been sent
	deadlineSlack      = time.Second            // past the time for which a caller waits, in which its request has to end
	closeLag           = time.Second            // past the end of a process, in which a caller may find its connection closed
	cutOff             = "answer cut off"
	maxExamples        = 4 // violations of a kind that are reported in full
)

// verifier compares what callers observed with what engines ran.
type verifier struct {
	grace          time.Duration
	isStrict       bool // whether a stream that is cut after some events counts as lost
	runs           map[string][]*platformtest.Run
	excused        map[string]int      // requests without a complete answer, by the reason that allows it
	outcomes       map[string]int      // requests by status and completeness
	unloggedLosses map[string]int      // requests that the log has to name and does not, by kind of loss
	loggedLosses   map[string]int      // those that it names
	violations     map[string][]string // timelines of the requests, by kind of violation
}

func newVerifier(grace time.Duration, engines []*platformtest.Engine) *verifier {
	v := &verifier{
		grace: grace, runs: map[string][]*platformtest.Run{}, excused: map[string]int{}, outcomes: map[string]int{},
		unloggedLosses: map[string]int{}, loggedLosses: map[string]int{}, violations: map[string][]string{},
	}
	for _, e := range engines {
		for _, run := range e.Runs() {
			v.runs[run.ID()] = append(v.runs[run.ID()], run)
		}
	}
	return v
}

// verify checks one request, and returns its violation, "" for none.
func (v *verifier) verify(a *attempt) (kind string) {
	runs := v.runs[a.id]
	kind = v.violation(a, runs)
	if kind == "" && a.err != nil {
		var why string
		if why, kind = v.classifyIncomplete(a, runs); kind == "" {
			v.excused[why]++
		}
	}
	if kind != "" {
		v.violations[kind] = append(v.violations[kind], timeline(a, runs))
	}
	ending := fmt.Sprint(a.status)
	if a.err != nil {
		ending += " cut"
	}
	v.outcomes[ending]++
	return kind
}

// violation returns what is wrong with a request's runs or its answer, be it complete or not; "" if nothing is.
func (v *verifier) violation(a *attempt, runs []*platformtest.Run) string {
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	switch {
	case refused && len(runs) > 0:
		return "ran although it was refused"
	case strings.HasPrefix(a.path, "/buy/") && len(runs) > 1:
		return "ran twice"
	case slices.ContainsFunc(runs, func(r *platformtest.Run) bool { return r.Body != a.body || r.Target != a.path }):
		return "ran changed"
	case a.status >= 300 && a.status < 500 && !refused:
		return "denied"
	case a.signedBy != "" && a.answerID != a.id, a.strayBytes > 0:
		return "another answer"
	case a.ended.Sub(a.began) > a.wait+deadlineSlack && !a.node.disruptedDuring(a.span()):
		return "held too long"
	case a.status == http.StatusOK && !a.textMatches():
		return "wrong answer"
	}
	return ""
}

// textMatches reports whether the body of a success is the engine's, or a prefix of it if the answer broke off.
func (a *attempt) textMatches() bool {
	want := "answer from " + a.signedBy
	if a.stream() {
		want = cmp.Or(a.wantText, platformtest.StreamText(0))
	}
	return a.signedBy != "" && (a.text == want || (a.err != nil && strings.HasPrefix(want, a.text)))
}

// classifyIncomplete returns the reason why a request may have no complete answer, or the violation if there is none.
func (v *verifier) classifyIncomplete(a *attempt, runs []*platformtest.Run) (why, wrong string) {
	stop, stopped := a.node.stopDuring(span{a.began.Add(-closeLag), a.ended})
	switch {
	case a.node.disruptedDuring(a.span()):
		return "node killed or frozen", ""
	case !v.isStrict && a.status == http.StatusOK && a.stream() && strings.Contains(a.text, "\n\n"):
		return "stream cut after some events", ""
	case len(runs) == 0 && a.written.IsZero():
		return "not written completely", ""
	case len(runs) == 0 && a.ended.Sub(a.written) > closeSlack:
		return "", "lost: accepted, not forwarded, and dropped later"
	case len(runs) == 0 && !stopped && !a.afterClose:
		return "", "closed by a node that is not stopping"
	case len(runs) == 0 && a.afterClose:
		return "sent after the node had announced the close", ""
	case len(runs) == 0 && a.ended.Before(stop.to.Add(-endSlack)):
		return "sent while the node closed an idle connection", ""
	case len(runs) == 0:
		return "sent while the process ended", ""
	case a.ended.Sub(a.began) >= a.wait:
		return "deadline", ""
	case slices.ContainsFunc(runs, func(r *platformtest.Run) bool { return r.Fault.Reset || r.Fault.BreakAt > 0 }):
		return "engine broke off", ""
	case stopped && v.workedUntilGraceEnd(a, stop, runs):
		return "engine still working at the end of the grace", ""
	case !stopped:
		return "", "lost: ran, and dropped by a node that is not stopping"
	case slices.ContainsFunc(runs, neverAnswers):
		return "", "lost: sent late to an engine that never answers, and cut off"
	default:
		return "", "lost: ran, and dropped by a stopping node"
	}
}

func neverAnswers(r *platformtest.Run) bool { return r.Fault.Hang || r.Fault.SilentAt > 0 }

// workedUntilGraceEnd reports whether an engine still worked in the last part of the grace on a request that was sent early.
func (v *verifier) workedUntilGraceEnd(a *attempt, stop span, runs []*platformtest.Run) bool {
	late := stop.from.Add(v.grace - v.grace/finalGraceDivisor)
	early := stop.from.Add(time.Duration(earlyGraceFraction * float64(v.grace)))
	return a.began.Before(early) && slices.ContainsFunc(runs, func(r *platformtest.Run) bool {
		ended, ok := r.EndedAt()
		return !ok || ended.After(late)
	})
}

// timeline describes a request, with times in milliseconds from its first byte.
func timeline(a *attempt, runs []*platformtest.Run) string {
	ms := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.1f", float64(at.Sub(a.began))/float64(time.Millisecond))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s at %s: written %s, ended %s of %d ms, status %d, %d bytes, %v", a.id, a.path, a.node.name,
		ms(a.written), ms(a.ended), a.wait.Milliseconds(), a.status, len(a.text), a.err)
	if a.status >= 300 && a.signedBy == "" {
		fmt.Fprintf(&b, ", %q", strings.TrimSpace(a.text))
	}
	for _, r := range runs {
		ended, _ := r.EndedAt()
		fault := r.Fault
		fault.Events = nil // too long for a report
		fmt.Fprintf(&b, "\n    ran from %s to %s, met %+v", ms(r.Began), ms(ended), fault)
	}
	if stop, ok := a.node.stopDuring(span{a.began.Add(-closeLag), a.ended}); ok {
		fmt.Fprintf(&b, "\n    SIGTERM at %s, process ended at %s", ms(stop.from), ms(stop.to))
	}
	if line := a.node.logTail(a.id, 3); line != "" {
		b.WriteString("\n    log: " + strings.TrimSpace(line))
	}
	return b.String()
}

var requestIDPattern = regexp.MustCompile(`call-\d{8}`)

// countLosses counts the requests that reached an engine and failed, by whether their node's log names them.
func (v *verifier) countLosses(attempts []*attempt) {
	named := map[*soakNode]map[string]bool{}
	for _, a := range attempts {
		kind := ""
		switch {
		case len(v.runs[a.id]) == 0 || a.node.disruptedDuring(a.span()):
		case a.status == 0:
			kind = "no answer"
		case a.err != nil:
			kind = cutOff
		case a.status >= 500 && a.signedBy == "":
			kind = fmt.Sprintf("the node's own %d", a.status)
		}
		if kind == "" {
			continue
		}
		if named[a.node] == nil {
			named[a.node] = requestsInLog(a.node.log)
		}
		if named[a.node][a.id] {
			v.loggedLosses[kind]++
		} else {
			v.unloggedLosses[kind]++
		}
	}
}

// requestsInLog returns the ids of the requests that a log names.
func requestsInLog(path string) map[string]bool {
	named := map[string]bool{}
	log, err := os.ReadFile(path)
	if err != nil {
		return named
	}
	for _, id := range requestIDPattern.FindAll(log, -1) {
		named[string(id)] = true
	}
	return named
}

// violationCounts returns the number of violations by kind.
func (v *verifier) violationCounts() map[string]int {
	counts := map[string]int{}
	for kind, found := range v.violations {
		counts[kind] = len(found)
	}
	return counts
}

// report returns the violations, with some timelines of each kind.
func (v *verifier) report() []string {
	var report []string
	for _, kind := range slices.Sorted(maps.Keys(v.violations)) {
		found := v.violations[kind]
		report = append(report, fmt.Sprintf("%d requests: %s", len(found), kind))
		report = append(report, found[:min(maxExamples, len(found))]...)
	}
	return report
}
