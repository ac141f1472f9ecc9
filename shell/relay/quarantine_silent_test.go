package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// refusingGuard is a crash recorder that refuses the first retry.
type refusingGuard struct {
	crashRecorder
	placer refusingPlacer
}

func (g *refusingGuard) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	return g.placer.Place(need, retry)
}

// Guards against a run with a head that is ended by a quarantine of its content, because a replacement of it was asked for as it paused.
func TestQuarantineEndsARunThatPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &crashingSender{fakeSender: fakeSender{answers: map[vaneyoke.UpstreamID]forward.Response{
			"a": &lateExchange{from: "a", events: 3, delay: 8 * time.Second},
		}}}
		g := &refusingGuard{placer: refusingPlacer{refusal: vaneyoke.ErrRetryAfter(vaneyoke.CodePushedBack, 20*time.Second, "push back")}}
		r := newForwarderWith(s, g)
		defer time.Sleep(time.Minute) // until all upstreams have ended
		defer r.Close()
		session := forwardRequest(t, r, true)
		time.Sleep(7 * time.Second) // its replacement has been refused
		must.Nil(t, g.placer.refusal)
		g.lock.Lock()
		g.blocked = true
		g.lock.Unlock()
		r.Quarantine("c")
		result, err := session.Wait(t.Context())
		must.NoError(t, err)
		must.EqOp(t, vaneyoke.CodeOK, result.Code)
		must.EqOp(t, "aaa", string(session.Text()))
	})
}
