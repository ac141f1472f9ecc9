package pushbacks_test

import (
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/pushbacks"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// TestLinesTellWhatWasAskedAndSent tells hypotheses apart that the lines could not: whether an upstream asked for anything, for how long, and
// whether first attempts, repeats or questions went there meanwhile.
func TestLinesTellWhatWasAskedAndSent(t *testing.T) {
	var lines strings.Builder
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	n := pushbacks.New(new(expvar.Map).Init(), log)
	now := time.Unix(1000, 0)
	u := vaneyoke.Upstream{ID: "u1", URL: "http://u1", Incarnation: 5}
	n.Sending(now, u, forward.KindFirst)
	n.Answered(now, u, forward.Signals{Pushback: 3 * time.Second})
	for range 20 { // refusals of requests that were under way; they tell nothing new
		n.Answered(now, u, forward.Signals{Pushback: 3 * time.Second})
	}
	n.Sending(now.Add(100*time.Millisecond), u, forward.KindFirst)
	n.Sending(now.Add(200*time.Millisecond), u, forward.KindQuestion)
	n.Sending(now.Add(1200*time.Millisecond), u, forward.KindRepeat)
	n.Sending(now.Add(4*time.Second), u, forward.KindFirst)
	n.Answered(now.Add(4*time.Second), u, forward.Signals{Leaving: true})
	n.Answered(now.Add(5*time.Second), u, forward.Signals{Leaving: true})
	n.Answered(now.Add(5*time.Second), u, forward.Signals{Unreadable: "Retry-After"})
	n.Answered(now.Add(5*time.Second), u, forward.Signals{Unreadable: "Retry-After"})
	must.EqOp(t, `level=info msg=upstream_pushed_back asked_ms=3000 incarnation=5 ms=3000 upstream=u1
level=info msg=sent_while_held first=1 ms=1200 questions=1 repeats=1 upstream=u1
level=info msg=upstream_leaves incarnation=5 upstream=u1
level=warning msg=signal_unreadable header=Retry-After upstream=u1
`, lines.String())
}
