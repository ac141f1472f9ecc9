package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

type policyRef struct {
	AuthInput
	Name string `path:"name"`
}

type policyInput struct {
	ChangeInput
	Name string `path:"name"`
	Body struct {
		Text string `json:"text" doc:"The program."`
	}
}

type policyDeletion struct {
	ChangeInput
	Name string `path:"name"`
}

type policyOutput struct {
	ETag string `header:"ETag"`
	Body catalog.Policy
}

type policyList struct {
	Body struct {
		Revision vaneyoke.Revision `json:"revision"`
		Policies []catalog.Policy  `json:"policies"`
	}
}

type checkInput struct {
	AuthInput
	Body struct {
		Text string `json:"text"`
	}
}

type checkOutput struct {
	Body struct {
		Good     bool             `json:"good"`
		Problems []policy.Problem `json:"problems"`
	}
}

type explainInput struct {
	AuthInput
	Body struct {
		Workspace   string    `json:"workspace"`
		Kind        string    `json:"kind,omitempty"`
		Model       string    `json:"model,omitempty"`
		Service     string    `json:"service,omitempty"`
		PromptBytes int       `json:"prompt_bytes,omitempty"`
		DataCentre  string    `json:"data_centre,omitempty"`
		At          time.Time `json:"at,omitempty" doc:"Time to decide for; now where it is left out."`
	}
}

type explainOutput struct {
	Body struct {
		Rule     string              `json:"rule" doc:"Policy and rule that decide; empty for the default."`
		Order    []vaneyoke.Selector `json:"upstreams"`
		MaxWait  string              `json:"wait,omitempty"`
		Priority int                 `json:"priority"`
		Recovery vaneyoke.Recovery   `json:"recovery,omitempty"`
		Steps    []policy.Step       `json:"steps" doc:"Each rule that was looked at, in order."`
		Drained  []vaneyoke.Selector `json:"drained" doc:"Upstreams that take no new work at the time."`
	}
}

func (a *API) registerPolicies(api huma.API) {
	register(api, http.MethodGet, "/v1/policies", "List the policies in force.", a.listPolicies)
	register(api, http.MethodGet, "/v1/policies/{name}", "Get a policy.", a.getPolicy)
	register(api, http.MethodPut, "/v1/policies/{name}", "Submit or revise a policy.", a.putPolicy)
	register(api, http.MethodDelete, "/v1/policies/{name}", "Withdraw a policy.", a.deletePolicy)
	register(api, http.MethodPost, "/v1/check", "Check a program without submitting it.", a.checkPolicy)
	register(api, http.MethodPost, "/v1/explain", "Tell which rule decides for a request.", a.explain)
}

func (a *API) listPolicies(_ context.Context, in *AuthInput) (*policyList, error) {
	if _, err := a.authorize(*in, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	current := a.follower.Current()
	out := &policyList{}
	out.Body.Revision = current.Revision
	out.Body.Policies = lo.Ternary(current.Policies == nil, []catalog.Policy{}, current.Policies)
	return out, nil
}

func (a *API) getPolicy(ctx context.Context, in *policyRef) (*policyOutput, error) {
	if _, err := a.authorize(in.AuthInput, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	p, version, err := getRow[catalog.Policy](ctx, a, catalog.PartitionPolicies, in.Name)
	return &policyOutput{ETag: etag(version), Body: p}, err
}

func (a *API) putPolicy(ctx context.Context, in *policyInput) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleOperator)
	if err != nil {
		return nil, err
	}
	compiled, problems := a.check(in.Body.Text)
	if compiled != nil && compiled.Name != in.Name {
		problems = append(problems, policy.Problem{Section: "policy", Key: "name", Message: "is " + compiled.Name + " and not " + in.Name})
	}
	if len(problems) > 0 {
		return nil, vaneyoke.ErrField(vaneyoke.CodeBadPolicy, "body.text", "%s", problemText(problems))
	}
	if err := checkScope(principal, compiled.Workspaces()); err != nil {
		return nil, err
	}
	expected, err := in.expectedVersion()
	if err != nil {
		return nil, err
	}
	value := catalog.Policy{Name: in.Name, Text: in.Body.Text, By: actor(principal), At: time.Now()}
	change := catalog.Change{Partition: catalog.PartitionPolicies, ID: in.Name, Value: value, ExpectedVersion: expected}
	return a.commit(ctx, principal, in.ChangeInput, "put policy "+in.Name, change)
}

func problemText(problems []policy.Problem) string {
	return lo.Reduce(problems, func(text string, p policy.Problem, i int) string {
		return text + lo.Ternary(i > 0, "; ", "") + p.String()
	}, "")
}

func (a *API) deletePolicy(ctx context.Context, in *policyDeletion) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleOperator)
	if err != nil {
		return nil, err
	}
	p, version, err := getRow[catalog.Policy](ctx, a, catalog.PartitionPolicies, in.Name)
	if err != nil {
		return nil, err
	}
	if compiled, _ := policy.Compile([]byte(p.Text)); compiled != nil {
		if err := checkScope(principal, compiled.Workspaces()); err != nil {
			return nil, err
		}
	}
	if expected, err := in.expectedVersion(); err != nil {
		return nil, err
	} else if expected > 0 {
		version = expected
	}
	change := catalog.Change{Partition: catalog.PartitionPolicies, ID: in.Name, ExpectedVersion: version}
	return a.commit(ctx, principal, in.ChangeInput, "withdraw policy "+in.Name, change)
}

// check compiles a program and checks it against the fleet, together with the other active policies.
func (a *API) check(text string) (*policy.Policy, []policy.Problem) {
	compiled, problems := policy.Compile([]byte(text))
	if compiled == nil {
		return nil, problems
	}
	current := a.follower.Current()
	policies := []*policy.Policy{compiled}
	for _, row := range current.Policies {
		if other, _ := policy.Compile([]byte(row.Text)); other != nil && other.Name != compiled.Name {
			policies = append(policies, other)
		}
	}
	workspaces := lo.Map(current.Workspaces, func(w vaneyoke.Workspace, _ int) vaneyoke.WorkspaceID { return w.ID })
	return compiled, policy.Check(time.Now(), policies, compiled.Name, current.Upstreams, workspaces)
}

func (a *API) checkPolicy(_ context.Context, in *checkInput) (*checkOutput, error) {
	if _, err := a.authorize(in.AuthInput, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	_, problems := a.check(in.Body.Text)
	out := &checkOutput{}
	out.Body.Good = len(problems) == 0
	out.Body.Problems = lo.Ternary(problems == nil, []policy.Problem{}, problems)
	return out, nil
}

func (a *API) explain(_ context.Context, in *explainInput) (*explainOutput, error) {
	if _, err := a.authorize(in.AuthInput, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	at := in.Body.At
	if at.IsZero() {
		at = time.Now()
	}
	var compiled []*policy.Policy
	for _, row := range a.follower.Current().Policies {
		if p, _ := policy.Compile([]byte(row.Text)); p != nil {
			compiled = append(compiled, p)
		}
	}
	set := policy.NewSet(compiled)
	d, steps := set.Explain(at, policy.Query{
		Workspace: in.Body.Workspace, Kind: in.Body.Kind, Model: in.Body.Model, Service: in.Body.Service,
		PromptBytes: in.Body.PromptBytes, DataCentre: in.Body.DataCentre,
	})
	out := &explainOutput{}
	out.Body.Rule, out.Body.Order, out.Body.Priority, out.Body.Recovery = d.Rule, d.Order, d.Priority, d.Recovery
	out.Body.Steps, out.Body.Drained = steps, set.Drained(at)
	if d.MaxWait > 0 {
		out.Body.MaxWait = d.MaxWait.String()
	}
	return out, nil
}
