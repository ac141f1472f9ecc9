package pushbacks_test

import (
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
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
	now := time.Unix(1000, 0)
	holds := &book{book: pushback.NewTracker(), now: now}
	n := pushbacks.New(holds, new(expvar.Map).Init(), log)
	u := vaneyoke.Upstream{ID: "u1", URL: "http://u1", Incarnation: 5}
	sending := func(after time.Duration, kind forward.Kind) {
		holds.now = now.Add(after)
		n.RecordSent(holds.now, u.ID, kind)
	}
	answered := func(after time.Duration, signals forward.Signals) {
		holds.now = now.Add(after)
		n.RecordSignals(holds.now, u, signals)
	}
	sending(0, forward.KindFirst)
	answered(0, forward.Signals{Pushback: 3 * time.Second})
	for range 20 { // refusals of requests that were under way; they tell nothing new
		answered(0, forward.Signals{Pushback: 3 * time.Second})
	}
	sending(100*time.Millisecond, forward.KindFirst)
	sending(200*time.Millisecond, forward.KindQuestion)
	sending(1200*time.Millisecond, forward.KindRepeat)
	sending(4*time.Second, forward.KindFirst)
	answered(4*time.Second, forward.Signals{Leaving: true})
	answered(5*time.Second, forward.Signals{Leaving: true})
	answered(5*time.Second, forward.Signals{Unreadable: "Retry-After"})
	answered(5*time.Second, forward.Signals{Unreadable: "Retry-After"})
	must.EqOp(t, `level=info msg=upstream_pushed_back asked_ms=3000 incarnation=5 ms=3000 upstream=u1
level=info msg=sent_while_held first=1 ms=1200 questions=1 repeats=1 upstream=u1
level=info msg=upstream_leaves incarnation=5 upstream=u1
level=warning msg=signal_unreadable header=Retry-After upstream=u1
`, lines.String())
}

// book decides by what upstreams said alone.
type book struct {
	book *pushback.Tracker
	now  time.Time
	life vaneyoke.Upstream // that said something last
}

func (b *book) Signalled(signal pushback.Signal) (hold, before pushback.Hold, ok bool) {
	b.life = signal.Upstream
	h, before := b.book.Record(b.now, signal)
	return *h, before, true
}

func (b *book) IsHeld(id vaneyoke.UpstreamID) bool { return b.book.Hold(id).Active(b.now, &b.life) }
