package relay

import (
	"context"
	"errors"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

// Holder is a Placer that knows which upstreams have asked for nothing for a while.
type Holder interface {
	// Signalled takes in what an upstream said of itself; ok is false where nothing follows.
	Signalled(signal pushback.Signal) (hold, before pushback.Hold, ok bool)
	// IsPushedBack reports whether an upstream wants nothing, questions included.
	IsPushedBack(id vaneyoke.UpstreamID) bool
}

// pushedBack reports whether an upstream wants nothing. What it has begun goes on; the keep-alives of its connections tell whether it is there.
func (r *Relay) pushedBack(id vaneyoke.UpstreamID) bool {
	return r.holder != nil && r.holder.IsPushedBack(id)
}

// isThere reports whether an upstream takes connections; one that wants nothing is not asked, and taken to be there.
func (r *Relay) isThere(ctx context.Context, upstream vaneyoke.Upstream) bool {
	return r.pushedBack(upstream.ID) || r.sender.Probe(ctx, upstream)
}

// notePushback takes in that an engine turned an attempt away and wants nothing for a while; what services say, their sender tells by itself.
func (r *Relay) notePushback(upstream vaneyoke.Upstream, err error) {
	if away, ok := errors.AsType[*engine.NotSentError](err); ok && away.Pushback > 0 && r.holder != nil {
		r.holder.Signalled(pushback.Signal{Upstream: upstream, Pushback: away.Pushback})
	}
}
