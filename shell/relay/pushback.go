package relay

import (
	"context"
	"errors"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// PushbackTracker is a Placer that knows which upstreams have asked for no requests for a while.
type PushbackTracker interface {
	// RecordSignal applies a signal of an upstream; ok is false if it has no effect.
	RecordSignal(signal pushback.Signal) (hold, before pushback.Hold, ok bool)
	// IsPushedBack reports whether an upstream has asked for no requests, queries included.
	IsPushedBack(id vaneyoke.UpstreamID) bool
}

// isPushedBack reports whether an upstream has asked for no requests. Its running requests continue; the keep-alives of
// their connections detect whether it is up.
func (r *Relay) isPushedBack(id vaneyoke.UpstreamID) bool {
	return r.pushbacks != nil && r.pushbacks.IsPushedBack(id)
}

// isReachable reports whether an upstream accepts connections over a path; one that pushes back is not probed and assumed to be up.
func (r *Relay) isReachable(ctx context.Context, upstream vaneyoke.Upstream, path forward.Path) bool {
	return r.isPushedBack(upstream.ID) || r.sender.Probe(ctx, upstream, path)
}

// recordPushback records the pushback of an engine that declined an attempt; the sender records those of services
// itself.
func (r *Relay) recordPushback(upstream vaneyoke.Upstream, err error) {
	if notSent, ok := errors.AsType[*engine.NotSentError](err); ok && notSent.Pushback > 0 && r.pushbacks != nil {
		r.pushbacks.RecordSignal(pushback.Signal{Upstream: upstream, Pushback: notSent.Pushback})
	}
}
