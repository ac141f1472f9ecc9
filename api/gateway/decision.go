package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// decision is what the node does with a request by the configuration and the stop plan of one moment.
type decision struct {
	table     *route.Table
	route     *route.Route
	workspace route.Workspace
	deadline  time.Time // when the caller stops waiting
}

// decide returns how a request is handled if it is sent on now. Its errors carry CodeNotFresh, CodeNotFound, CodeNoKey, CodeUnknownKey, CodeStopping or
// CodeWaitExceeded.
func (g *Gateway) decide(now time.Time, c *call, envelope Envelope) (decision, error) {
	table := g.routeSource.Routes()
	if table == nil {
		return decision{}, vaneyoke.ErrRetryAfter(vaneyoke.CodeNotFresh, randomRetryAfter(envelope.MaxWait, rand.Float64()), "no configuration is known yet")
	}
	matched, ok := table.Find(c.request.Host, c.request.URL.Path)
	if !ok {
		return decision{}, vaneyoke.Err(vaneyoke.CodeNotFound, "no route for %s%s", c.request.Host, c.request.URL.Path)
	}
	workspace, err := table.Workspace(matched, envelope.APIKey)
	if err != nil {
		return decision{}, err
	}
	d := decision{table: table, route: matched, workspace: workspace, deadline: c.received.Add(g.maxWait(matched, envelope.MaxWait))}
	if retryAfter, refused := g.stopping.Load().refusal(now, c.incoming(d)); refused {
		return decision{}, vaneyoke.ErrRetryAfter(vaneyoke.CodeStopping, retryAfter, "the node is stopping")
	}
	if !now.Before(d.deadline) {
		return decision{}, vaneyoke.ErrRetryAfter(vaneyoke.CodeWaitExceeded, defaultRetryAfter, "the time for the answer was over as the body had come")
	}
	return d, nil
}

// recheck returns an error if a request that has waited for an upstream of a service may not be sent any more as it was decided.
func (g *Gateway) recheck(now time.Time, c *call, envelope Envelope, before decision, service vaneyoke.ServiceID) error {
	d, err := g.decide(now, c, envelope)
	if err != nil || d.table == before.table {
		return err
	}
	leads := slices.ContainsFunc(d.route.Targets, func(t route.Target) bool { return t.Service == service })
	if !leads || d.workspace.ID != before.workspace.ID || d.route.Repeatable() != before.route.Repeatable() {
		return vaneyoke.ErrRetryAfter(vaneyoke.CodeNoUpstream, retryAfterOtherNode, "the configuration of the request has changed while it waited")
	}
	return nil
}

// incoming returns what a stopping node has to know of the request.
func (c *call) incoming(d decision) incomingRequest {
	return incomingRequest{
		connOpenedAt: c.caller.OpenedAt(), deadline: d.deadline, answerTime: expectedAnswerTime(d.route),
		stream: d.route.Kind == route.KindStream, resumable: d.route.Repeatable(),
	}
}

// expectedAnswerTime returns the time in which a request of a route is likely to be answered, 0 if only its deadline counts. For a repeatable call a failure
// is no worse than a refusal, so that the likely time suffices.
func expectedAnswerTime(r *route.Route) time.Duration {
	if r.Kind == route.KindRepeatable {
		return relay.SuspectAfter(r.LatencyGoal)
	}
	return 0
}

// maxWait returns the longest time for answering a request on a route, nil if that is not known.
func (g *Gateway) maxWait(r *route.Route, wait time.Duration) time.Duration {
	maxWait := g.config.MaxWait
	if r != nil && r.Timeout > 0 {
		maxWait = r.Timeout
	}
	if wait > 0 {
		maxWait = min(maxWait, wait)
	}
	return maxWait
}
