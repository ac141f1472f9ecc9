package operatorapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// acceptTimeout is how long a change may take to become active on a majority of the nodes.
const acceptTimeout = 3 * time.Second

// LoadSource provides the load of each upstream as this node sees it.
type LoadSource interface {
	Loads() []placement.Load
}

// API is the operator API.
type API struct {
	table    store.Table
	follower *catalog.Follower
	loads    LoadSource
	log      logrus.FieldLogger
}

// New returns an API.
func New(table store.Table, follower *catalog.Follower, loads LoadSource, log logrus.FieldLogger) *API {
	return &API{table: table, follower: follower, loads: loads, log: log}
}

// Register adds the API's operations to mux.
func (a *API) Register(mux *http.ServeMux) {
	config := huma.DefaultConfig("vaneyoke administration", "1")
	config.CreateHooks = nil // no schema links in responses
	api := humago.New(mux, config)
	a.registerPolicies(api)
	a.registerUpstreams(api)
	a.registerWorkspaces(api)
	a.registerFleet(api)
}

// AuthInput holds the header that every request has.
type AuthInput struct {
	Authorization string `header:"Authorization" doc:"Bearer key with the role viewer, operator or administrator."`
}

// ChangeInput holds the headers of every request that changes something.
type ChangeInput struct {
	AuthInput
	IfMatch        string `header:"If-Match" doc:"Version of what is changed, as its ETag tells it; empty for something new."`
	IdempotencyKey string `header:"Idempotency-Key" maxLength:"200" doc:"Own key of the change, so that it is made once however often it is sent."`
}

// roleOrder lists the roles from the fewest rights to the most.
var roleOrder = []vaneyoke.Role{vaneyoke.RoleCaller, vaneyoke.RoleViewer, vaneyoke.RoleOperator, vaneyoke.RoleAdministrator}

// authorize returns the principal of the caller's key if it has at least the required role.
func (a *API) authorize(c AuthInput, required vaneyoke.Role) (catalog.Principal, error) {
	key, ok := strings.CutPrefix(c.Authorization, "Bearer ")
	if !ok || key == "" {
		return catalog.Principal{}, vaneyoke.Err(vaneyoke.CodeNoKey, "the Authorization header holds no bearer key")
	}
	principal, ok := a.follower.Current().Principal(key)
	if !ok {
		return catalog.Principal{}, vaneyoke.Err(vaneyoke.CodeUnknownKey, "the bearer key is unknown or revoked")
	}
	if slices.Index(roleOrder, principal.Role) < slices.Index(roleOrder, required) {
		return catalog.Principal{}, vaneyoke.Err(vaneyoke.CodeForbidden, "the role %s does not allow this, %s does", principal.Role, required)
	}
	return principal, nil
}

// checkScope returns an error if the principal's rights do not cover all of the given workspaces; an empty
// list stands for every workspace.
func checkScope(principal catalog.Principal, workspaces []string) error {
	if principal.Scope == nil {
		return nil
	}
	if len(workspaces) == 0 {
		return vaneyoke.Err(vaneyoke.CodeForbidden, "the key's rights are bound to %v, and this concerns every workspace", principal.Scope)
	}
	for _, w := range workspaces {
		if !slices.Contains(principal.Scope, vaneyoke.WorkspaceID(w)) {
			return vaneyoke.Err(vaneyoke.CodeForbidden, "the key's rights do not reach the workspace %s", w)
		}
	}
	return nil
}

// expectedVersion parses the If-Match header: the version that the change is based on.
func (c ChangeInput) expectedVersion() (store.Version, error) {
	text := strings.Trim(c.IfMatch, `"`)
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, vaneyoke.ErrField(vaneyoke.CodeBadRequest, "header.If-Match", "must be a version such as \"3\", got %s", c.IfMatch)
	}
	return store.Version(version), nil
}

func etag(version store.Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

// Accepted is the response to a change that is active on a majority of the nodes.
type Accepted struct {
	ETag string `header:"ETag"`
	Body struct {
		Revision vaneyoke.Revision `json:"revision"`
		InForce  int               `json:"in_force" doc:"Nodes that have confirmed the change."`
		Nodes    int               `json:"nodes"`
	}
}

// commit applies a change and returns once it is accepted.
func (a *API) commit(ctx context.Context, principal catalog.Principal, c ChangeInput, action string, change catalog.Change) (*Accepted, error) {
	info := catalog.AuditInfo{Actor: actor(principal), Action: action, IdempotencyKey: c.IdempotencyKey}
	revision, err := catalog.ApplyAudited(ctx, a.table, time.Now(), info, change)
	if err != nil {
		return nil, err
	}
	a.log.WithFields(logrus.Fields{"actor": info.Actor, "action": action, "policy": uint64(revision)}).Info("configuration_changed")
	wait, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	revisions, err := a.follower.AwaitAccepted(wait, revision)
	if err != nil {
		return nil, err
	}
	out := &Accepted{ETag: etag(change.ExpectedVersion + 1)}
	out.Body.Revision = revision
	out.Body.Nodes = len(a.follower.Current().Nodes)
	for _, r := range revisions {
		if r >= revision {
			out.Body.InForce++
		}
	}
	return out, nil
}

// actorHashLength is the length of the key hash's prefix in the name of an actor.
const actorHashLength = 8

// actor returns a name for the holder of a key that does not reveal the key.
func actor(p catalog.Principal) string {
	return string(p.Workspace) + "/" + string(p.Role) + "/" + string(p.Hash[:actorHashLength])
}

// register adds an operation whose errors are returned as callerapi.ErrorBody.
func register[In, Out any](api huma.API, method, path, summary string, handle func(context.Context, *In) (*Out, error)) {
	id := strings.Trim(strings.NewReplacer("/v1/", "", "/", "-", "{", "", "}", "").Replace(path), "-")
	operation := huma.Operation{OperationID: strings.ToLower(method) + "-" + id, Method: method, Path: path, Summary: summary}
	huma.Register(api, operation, func(ctx context.Context, in *In) (*Out, error) {
		out, err := handle(ctx, in)
		if err != nil {
			return nil, callerapi.NewErrorBody(err)
		}
		return out, nil
	})
}

// getRow returns a row of the configuration and its version.
func getRow[T any](ctx context.Context, a *API, partition, id string) (T, store.Version, error) {
	var value T
	row, err := a.table.Get(ctx, store.Key{Partition: partition, ID: id})
	if err != nil {
		return value, 0, err
	}
	values, err := catalog.Decode[T]([]store.Row{row})
	if err != nil {
		return value, 0, err
	}
	return values[0], row.Version, nil
}
