package relay_test

import (
	"context"
	"expvar"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// panickingExchange panics while the session reads its answer.
type panickingExchange struct{ lateExchange }

func (s *panickingExchange) Next() (forward.Event, error) {
	if s.sent == s.events {
		panic("unexpected event")
	}
	return s.lateExchange.Next()
}

// panickingSender panics when it sends.
type panickingSender struct{ fakeSender }

func (*panickingSender) Send(context.Context, *forward.Attempt) (forward.Response, error) {
	panic("unexpected request")
}

// panickingPlacer panics when it places.
type panickingPlacer struct{ sequentialPlacer }

func (*panickingPlacer) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	panic("unexpected need")
}

// Guards against a panic in the work on one request that ends the process, and with it the answers of all other callers.
func TestPanicInOneSessionEndsAllOthers(t *testing.T) {
	exchange := &panickingExchange{lateExchange{from: "a", events: 2}}
	cases := map[string]struct {
		sender forward.Sender
		placer relay.Placer
		text   string // that the caller has before
	}{
		"while the answer is read": {&fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{"a": exchange}, reachable: true}, &sequentialPlacer{}, "aa"},
		"while it is sent":         {&panickingSender{}, &sequentialPlacer{}, ""},
		"while it is placed":       {&fakeSender{}, &panickingPlacer{}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				metrics := relay.NewMetrics(new(expvar.Map).Init())
				r := newForwarderCounting(tc.sender, tc.placer, metrics)
				session := forwardStream(t, r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeInternal, result.Code)
				must.EqOp(t, http.StatusInternalServerError, result.Code.Info().Status)
				must.EqOp(t, tc.text, string(session.Text()))
				must.EqOp(t, 1, metrics.Panics.Value())
				must.EqOp(t, 0, metrics.Open.Value())
				must.False(t, session.Running())
				session.Abandon()
				must.EqOp(t, 0, metrics.Open.Value())
				r.Close()
				synctest.Wait()
			})
		})
	}
}
