package operatorapi

import (
	"context"
	"net/http"
	"net/url"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

// UpstreamLoad is an upstream and its load as this node sees it.
type UpstreamLoad struct {
	vaneyoke.Upstream
	InFlight    int  `json:"in_flight" doc:"Attempts of the node that answers."`
	BreakerOpen bool `json:"breaker_open" doc:"Whether the node keeps work from it because it fails."`
	Drained     bool `json:"drained" doc:"Whether a policy drains it now."`
}

type upstreamList struct {
	Body struct {
		Upstreams []UpstreamLoad `json:"upstreams"`
	}
}

type upstreamInput struct {
	ChangeInput
	ID   vaneyoke.UpstreamID `path:"id"`
	Body vaneyoke.Upstream
}

type upstreamRef struct {
	ChangeInput
	ID vaneyoke.UpstreamID `path:"id"`
}

func (a *API) registerUpstreams(api huma.API) {
	register(api, http.MethodGet, "/v1/upstreams", "List the upstreams as the node sees them.", a.listUpstreams)
	register(api, http.MethodPut, "/v1/upstreams/{id}", "Register or change an upstream.", a.putUpstream)
	register(api, http.MethodDelete, "/v1/upstreams/{id}", "Remove an upstream.", a.deleteUpstream)
	register(api, http.MethodPost, "/v1/upstreams/{id}/drain", "Give an upstream no new work; what runs there finishes.", a.drain)
	register(api, http.MethodPost, "/v1/upstreams/{id}/undrain", "Give an upstream new work again.", a.undrain)
}

func (a *API) listUpstreams(_ context.Context, in *AuthInput) (*upstreamList, error) {
	if _, err := a.authorize(*in, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	out := &upstreamList{}
	out.Body.Upstreams = lo.Map(a.loads.Loads(), func(l placement.Load, _ int) UpstreamLoad {
		return UpstreamLoad{Upstream: l.Upstream, InFlight: l.InFlight, BreakerOpen: l.BreakerOpen, Drained: l.Drained}
	})
	return out, nil
}

func (a *API) putUpstream(ctx context.Context, in *upstreamInput) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleAdministrator)
	if err != nil {
		return nil, err
	}
	u := in.Body
	if u.ID != in.ID {
		return nil, vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.id", "is %s and not %s", u.ID, in.ID)
	}
	if err := checkUpstream(u); err != nil {
		return nil, err
	}
	expected, err := in.expectedVersion()
	if err != nil {
		return nil, err
	}
	change := catalog.Change{Partition: catalog.PartitionUpstreams, ID: string(u.ID), Value: u, ExpectedVersion: expected}
	return a.commit(ctx, principal, in.ChangeInput, "put upstream "+string(u.ID), change)
}

func checkUpstream(u vaneyoke.Upstream) error {
	address, err := url.Parse(u.URL)
	switch {
	case err != nil || address.Host == "":
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.url", "must be an http address, got %q", u.URL)
	case u.Kind != vaneyoke.KindEngine && u.Kind != vaneyoke.KindService:
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.kind", "must be engine or service, got %q", u.Kind)
	case u.State != vaneyoke.StateLive && u.State != vaneyoke.StateLeaving:
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.state", "must be live or leaving, got %q", u.State)
	case u.Kind == vaneyoke.KindEngine && len(u.Models) == 0:
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.models", "an engine offers at least one model")
	case u.Kind == vaneyoke.KindService && u.Service == "":
		return vaneyoke.ErrField(vaneyoke.CodeBadRequest, "body.service", "a service has a name")
	}
	return nil
}

func (a *API) deleteUpstream(ctx context.Context, in *upstreamRef) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleAdministrator)
	if err != nil {
		return nil, err
	}
	_, version, err := getRow[vaneyoke.Upstream](ctx, a, catalog.PartitionUpstreams, string(in.ID))
	if err != nil {
		return nil, err
	}
	change := catalog.Change{Partition: catalog.PartitionUpstreams, ID: string(in.ID), ExpectedVersion: version}
	return a.commit(ctx, principal, in.ChangeInput, "remove upstream "+string(in.ID), change)
}

func (a *API) drain(ctx context.Context, in *upstreamRef) (*Accepted, error) {
	return a.setState(ctx, in, vaneyoke.StateLeaving, "drain upstream ")
}

func (a *API) undrain(ctx context.Context, in *upstreamRef) (*Accepted, error) {
	return a.setState(ctx, in, vaneyoke.StateLive, "undrain upstream ")
}

func (a *API) setState(ctx context.Context, in *upstreamRef, state vaneyoke.UpstreamState, action string) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleOperator)
	if err != nil {
		return nil, err
	}
	if err := checkScope(principal, nil); err != nil {
		return nil, err
	}
	u, version, err := getRow[vaneyoke.Upstream](ctx, a, catalog.PartitionUpstreams, string(in.ID))
	if err != nil {
		return nil, err
	}
	u.State = state
	change := catalog.Change{Partition: catalog.PartitionUpstreams, ID: string(u.ID), Value: u, ExpectedVersion: version}
	return a.commit(ctx, principal, in.ChangeInput, action+string(u.ID), change)
}
