package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// resting places attempts on upstreams that push back from a moment after the first attempt was placed.
type resting struct {
	inTurn
	from time.Time
}

func (r *resting) IsPushedBack(vaneyoke.UpstreamID) bool { return !time.Now().Before(r.from) }

// probed counts connections that are opened to find out whether an upstream is there.
type probed struct {
	counted
	probes atomic.Int32
}

func (p *probed) Probe(ctx context.Context, u vaneyoke.Upstream) bool {
	p.probes.Add(1)
	return p.counted.Probe(ctx, u)
}

// TestPushedBackUpstreamsAreNotAsked has an upstream push back while it works on a generation that is silent for long: it is neither asked nor
// probed, and its answer is waited for.
func TestPushedBackUpstreamsAreNotAsked(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration
		asked bool
	}{
		"it pushes back":       {time.Millisecond, false},
		"it pushes back later": {time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &probed{counted: counted{sender: sender{
					answers: map[vaneyoke.UpstreamID]forward.Exchange{"a": &stubborn{from: "a", events: 1}}, reached: true, work: vaneyoke.WorkQueued,
					waits: map[vaneyoke.UpstreamID]time.Duration{"a": 7 * time.Second},
				}}}
				r := newForwarderWith(s, &resting{from: time.Now().Add(tc.after)})
				session := askPrompt(t.Context(), r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, tc.asked, s.questions.Load() > 0)
				must.EqOp(t, tc.asked, s.probes.Load() > 0)
				r.Close()
				synctest.Wait()
			})
		})
	}
}
