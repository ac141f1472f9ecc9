package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// reversionedUpstreams are upstreams of which the first one is listed with version v1 and restarts with v2, the version of the second.
type reversionedUpstreams struct{ restartingUpstreams }

func (u *reversionedUpstreams) LoadReport(ctx context.Context, upstream vaneyoke.Upstream) (vaneyoke.LoadReport, bool) {
	time.Sleep(5 * time.Millisecond)
	return u.restartingUpstreams.LoadReport(ctx, upstream)
}

func (u *reversionedUpstreams) Upstream(id vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	upstream, ok := u.restartingUpstreams.Upstream(id)
	upstream.VersionUnknown, upstream.Version = false, "v1"
	if id != "a" || upstream.Incarnation > 5 {
		upstream.Version = "v2"
	}
	return upstream, ok
}

func (u *reversionedUpstreams) Place(need placement.Need, retry bool) (vaneyoke.Upstream, time.Duration, error) {
	switch {
	case need.Pin.VersionUnknown:
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeVersionGone, "none")
	case need.Pin.IsSet && need.Pin.Version == "v1":
		return vaneyoke.Upstream{}, 0, vaneyoke.Err(vaneyoke.CodeNoUpstream, "none at v1 now")
	}
	upstream, ttft, err := u.restartingUpstreams.Place(need, retry)
	upstream.Version = "v2"
	if upstream.ID == "a" {
		upstream.Version = "v1"
	}
	return upstream, ttft, err
}

// Guards against streams that go on at the version with which an upstream has restarted, although the process before that made the events, which were read
// only after its end: the node stood still, or the path to the upstream was cut.
func TestEventsWaitUntilTheirProcessHasEnded(t *testing.T) {
	for name, tc := range map[string]struct {
		wait  time.Duration // from the request to its first event
		pause time.Duration // between two events
		code  vaneyoke.Code
		want  string
	}{
		"read late, and all at once":           {time.Second, 0, vaneyoke.CodeInterrupted, "aaa"},
		"read late, and the last ones as made": {time.Second, 10 * time.Millisecond, vaneyoke.CodeOK, "aaabb"},
		"read at once":                         {0, 10 * time.Millisecond, vaneyoke.CodeOK, "aaabb"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &reversionedUpstreams{}
				u.waits = map[vaneyoke.UpstreamID]time.Duration{"a": tc.wait}
				u.incarnations = map[vaneyoke.UpstreamID][]vaneyoke.Incarnation{"a": {6}, "b": {5}}
				u.answers = map[vaneyoke.UpstreamID]forward.Response{
					"a": &lateExchange{from: "a", events: 3, delay: tc.pause, breaks: true}, "b": &lateExchange{from: "b", events: 2},
				}
				r := newForwarderWith(u, u)
				s := forwardStream(t, r)
				mustAnswer(t, r, s, tc.code, tc.want)
			})
		})
	}
}
