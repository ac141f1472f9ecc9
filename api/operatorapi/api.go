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

// acceptWait is how long a change may take to be in force at a majority of the nodes.
const acceptWait = 3 * time.Second

// Loads tells what the node sees of each upstream.
type Loads interface {
	Loads() []placement.Load
}

// API serves operators.
type API struct {
	table    store.Table
	follower *catalog.Follower
	loads    Loads
	log      logrus.FieldLogger
}

// New returns an API.
func New(table store.Table, follower *catalog.Follower, loads Loads, log logrus.FieldLogger) *API {
	return &API{table: table, follower: follower, loads: loads, log: log}
}

// Register adds the API's routes to mux.
func (a *API) Register(mux *http.ServeMux) {
	config := huma.DefaultConfig("vaneyoke administration", "1")
	config.CreateHooks = nil // keeps schema links out of the answers
	api := humago.New(mux, config)
	a.registerPolicies(api)
	a.registerUpstreams(api)
	a.registerWorkspaces(api)
	a.registerFleet(api)
}

// Caller is who asks, and what every question has.
type Caller struct {
	Authorization string `header:"Authorization" doc:"Bearer key with the role viewer, operator or administrator."`
}

// Changer is who changes something.
type Changer struct {
	Caller
	IfMatch string `header:"If-Match" doc:"Version of what is changed, as its ETag tells it; empty for something new."`
	Once    string `header:"Idempotency-Key" maxLength:"200" doc:"Own key of the change, so that it is made once however often it is sent."`
}

// ranks orders the roles by what they allow.
var ranks = []vaneyoke.Role{vaneyoke.RoleCaller, vaneyoke.RoleViewer, vaneyoke.RoleOperator, vaneyoke.RoleAdministrator}

// allow returns whom the key speaks for, if its role suffices.
func (a *API) allow(c Caller, least vaneyoke.Role) (catalog.Principal, error) {
	key, ok := strings.CutPrefix(c.Authorization, "Bearer ")
	if !ok || key == "" {
		return catalog.Principal{}, vaneyoke.Err(vaneyoke.CodeNoKey, "the Authorization header holds no bearer key")
	}
	holder, ok := a.follower.Current().Principal(key)
	if !ok {
		return catalog.Principal{}, vaneyoke.Err(vaneyoke.CodeUnknownKey, "the bearer key is unknown or revoked")
	}
	if slices.Index(ranks, holder.Role) < slices.Index(ranks, least) {
		return catalog.Principal{}, vaneyoke.Err(vaneyoke.CodeForbidden, "the role %s does not allow this, %s does", holder.Role, least)
	}
	return holder, nil
}

// within returns an error where an operator's rights do not reach all of the named workspaces; nil names every workspace.
func within(holder catalog.Principal, workspaces []string) error {
	if holder.Scope == nil {
		return nil
	}
	if len(workspaces) == 0 {
		return vaneyoke.Err(vaneyoke.CodeForbidden, "the key's rights are bound to %v, and this concerns every workspace", holder.Scope)
	}
	for _, w := range workspaces {
		if !slices.Contains(holder.Scope, vaneyoke.WorkspaceID(w)) {
			return vaneyoke.Err(vaneyoke.CodeForbidden, "the key's rights do not reach the workspace %s", w)
		}
	}
	return nil
}

// seen reads the version that a change refers to.
func (c Changer) seen() (store.Version, error) {
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

// Accepted tells of a change that a majority of the nodes has in force.
type Accepted struct {
	ETag string `header:"ETag"`
	Body struct {
		Revision vaneyoke.Revision `json:"revision"`
		InForce  int               `json:"in_force" doc:"Nodes that have confirmed the change."`
		Nodes    int               `json:"nodes"`
	}
}

// commit makes a change and answers once it is accepted.
func (a *API) commit(ctx context.Context, holder catalog.Principal, c Changer, action string, change catalog.Change) (*Accepted, error) {
	note := catalog.AuditInfo{Actor: actor(holder), Action: action, IdempotencyKey: c.Once}
	revision, err := catalog.ApplyAudited(ctx, a.table, time.Now(), note, change)
	if err != nil {
		return nil, err
	}
	a.log.WithFields(logrus.Fields{"actor": note.Actor, "action": action, "policy": uint64(revision)}).Info("configuration_changed")
	wait, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	have, err := a.follower.AwaitAccepted(wait, revision)
	if err != nil {
		return nil, err
	}
	out := &Accepted{ETag: etag(change.ExpectedVersion + 1)}
	out.Body.Revision = revision
	out.Body.Nodes = len(a.follower.Current().Nodes)
	for _, r := range have {
		if r >= revision {
			out.Body.InForce++
		}
	}
	return out, nil
}

// actorHashLetters is how much of a key's hash names its holder.
const actorHashLetters = 8

// actor names the holder of a key without telling the key.
func actor(h catalog.Principal) string {
	return string(h.Workspace) + "/" + string(h.Role) + "/" + string(h.Hash[:actorHashLetters])
}

// register adds an operation whose errors take the form that operators see.
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

// get returns a row of the configuration and its version.
func get[T any](ctx context.Context, a *API, partition, id string) (T, store.Version, error) {
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
