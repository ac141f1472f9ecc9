package relay

import (
	"context"

	"github.com/vaneyoke/vaneyoke"
)

// Holder is a Placer that knows which upstreams have asked for nothing for a while.
type Holder interface {
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
