package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/shell/pins"
)

// OriginFinder finds out which software began a stream.
type OriginFinder interface {
	// Find returns what is known of the software that began a stream; an error carries CodeCallerGone.
	Find(ctx context.Context, lookup pins.Lookup) (pinning.Origin, error)
}

// findOrigin returns the software that began the stream of a caller who comes back for the rest, the zero value for any other caller. Errors carry
// CodeBadRequest, CodeOriginUnknown, CodeVersionGone or CodeCallerGone.
func (g *Gateway) findOrigin(c *call, r *route.Route, workspace route.Workspace, envelope Envelope) (pinning.Origin, error) {
	if r.Kind != route.KindStream || envelope.LastEventID == "" {
		return pinning.Origin{}, nil
	}
	if _, ok := vaneyoke.ParseEventNumber(envelope.LastEventID); !ok { // nothing that follows could be compared with it
		return pinning.Origin{}, vaneyoke.Err(vaneyoke.CodeBadRequest, "the id of the last event is no number: %q", envelope.LastEventID)
	}
	services := lo.Map(r.Targets, func(t route.Target, _ int) vaneyoke.ServiceID { return t.Service })
	origin, err := g.origins.Find(c.request.Context(), pins.Lookup{
		Request: envelope.ID, Workspace: workspace.ID, Resumes: envelope.Resumes, After: envelope.LastEventID, Services: services, MaxAge: g.maxWait(r, 0),
	})
	switch {
	case err != nil:
		return pinning.Origin{}, err
	case !origin.IsKnown():
		retryAfter := time.Duration(0)
		if origin.Basis == pinning.BasisNone && (origin.Answered < origin.Asked || origin.StoreUnread) {
			retryAfter = randomRetryAfter(envelope.MaxWait, rand.Float64()) // a node that did not answer, or the store, may have the record
		}
		return pinning.Origin{}, vaneyoke.ErrRetryAfter(vaneyoke.CodeOriginUnknown, retryAfter, "%d of %d nodes answered, none knows which software began the stream (%s)", origin.Answered, origin.Asked, origin.Basis)
	case !slices.Contains(services, origin.Software.Service):
		return pinning.Origin{}, vaneyoke.Err(vaneyoke.CodeVersionGone, "the route does not lead to service %s any more, which began the stream", origin.Software.Service)
	default:
		return origin, nil
	}
}
