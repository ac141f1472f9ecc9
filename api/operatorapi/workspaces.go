package operatorapi

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

const (
	keyPrefix       = "vy-"
	defaultPageRows = 100
)

type workspaceList struct {
	Body struct {
		Workspaces []vaneyoke.Workspace `json:"workspaces"`
		Next       string               `json:"next,omitempty" doc:"Value of after for the next page."`
	}
}

type pageInput struct {
	AuthInput
	After string `query:"after" doc:"Name after which the page begins."`
	Limit int    `query:"limit" minimum:"1" maximum:"500" default:"100"`
}

type workspaceInput struct {
	ChangeInput
	ID   vaneyoke.WorkspaceID `path:"id"`
	Body struct {
		Recovery vaneyoke.Recovery `json:"recovery" enum:"fast,frugal"`
	}
}

type keyInput struct {
	ChangeInput
	ID   vaneyoke.WorkspaceID `path:"id"`
	Body struct {
		Role  vaneyoke.Role          `json:"role" enum:"caller,viewer,operator,administrator"`
		Scope []vaneyoke.WorkspaceID `json:"scope,omitempty" doc:"Workspaces that an operator's rights are bound to."`
	}
}

type keyOutput struct {
	Body struct {
		Key      string            `json:"key" doc:"The key; it is told this once and only its hash is kept."`
		Hash     vaneyoke.KeyHash  `json:"hash"`
		Revision vaneyoke.Revision `json:"revision"`
	}
}

type keyRef struct {
	ChangeInput
	ID   vaneyoke.WorkspaceID `path:"id"`
	Hash string               `path:"hash" doc:"Hash of the key, or its beginning."`
}

func (a *API) registerWorkspaces(api huma.API) {
	register(api, http.MethodGet, "/v1/workspaces", "List the workspaces.", a.listWorkspaces)
	register(api, http.MethodPut, "/v1/workspaces/{id}", "Create or change a workspace.", a.putWorkspace)
	register(api, http.MethodPost, "/v1/workspaces/{id}/keys", "Create a key of a workspace.", a.createKey)
	register(api, http.MethodDelete, "/v1/workspaces/{id}/keys/{hash}", "Revoke a key of a workspace.", a.revokeKey)
}

func (a *API) listWorkspaces(_ context.Context, in *pageInput) (*workspaceList, error) {
	if _, err := a.authorize(in.AuthInput, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	all := a.follower.Current().Workspaces
	start, found := slices.BinarySearchFunc(all, in.After, func(w vaneyoke.Workspace, after string) int {
		return strings.Compare(string(w.ID), after)
	})
	if found {
		start++
	}
	end := min(start+lo.CoalesceOrEmpty(in.Limit, defaultPageRows), len(all))
	out := &workspaceList{}
	out.Body.Workspaces = all[start:end]
	if end < len(all) {
		out.Body.Next = string(all[end-1].ID)
	}
	return out, nil
}

func (a *API) putWorkspace(ctx context.Context, in *workspaceInput) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleAdministrator)
	if err != nil {
		return nil, err
	}
	expected, err := in.expectedVersion()
	if err != nil {
		return nil, err
	}
	w := vaneyoke.Workspace{ID: in.ID, Keys: []vaneyoke.Key{}}
	if expected > 0 {
		if w, _, err = getRow[vaneyoke.Workspace](ctx, a, catalog.PartitionWorkspaces, string(in.ID)); err != nil {
			return nil, err
		}
	}
	w.Recovery = in.Body.Recovery
	return a.commit(ctx, principal, in.ChangeInput, "put workspace "+string(in.ID), workspaceChange(w, expected))
}

func workspaceChange(w vaneyoke.Workspace, expected store.Version) catalog.Change {
	return catalog.Change{Partition: catalog.PartitionWorkspaces, ID: string(w.ID), Value: w, ExpectedVersion: expected}
}

func (a *API) createKey(ctx context.Context, in *keyInput) (*keyOutput, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleAdministrator)
	if err != nil {
		return nil, err
	}
	w, version, err := getRow[vaneyoke.Workspace](ctx, a, catalog.PartitionWorkspaces, string(in.ID))
	if err != nil {
		return nil, err
	}
	key := keyPrefix + rand.Text()
	hash := catalog.HashKey(key)
	w.Keys = append(w.Keys, vaneyoke.Key{Hash: hash, Role: in.Body.Role, Scope: in.Body.Scope})
	accepted, err := a.commit(ctx, principal, in.ChangeInput, "create key of "+string(in.ID), workspaceChange(w, version))
	if err != nil {
		return nil, err
	}
	out := &keyOutput{}
	out.Body.Key, out.Body.Hash, out.Body.Revision = key, hash, accepted.Body.Revision
	return out, nil
}

func (a *API) revokeKey(ctx context.Context, in *keyRef) (*Accepted, error) {
	principal, err := a.authorize(in.AuthInput, vaneyoke.RoleAdministrator)
	if err != nil {
		return nil, err
	}
	w, version, err := getRow[vaneyoke.Workspace](ctx, a, catalog.PartitionWorkspaces, string(in.ID))
	if err != nil {
		return nil, err
	}
	remaining := lo.Reject(w.Keys, func(k vaneyoke.Key, _ int) bool { return strings.HasPrefix(string(k.Hash), in.Hash) })
	if len(remaining) != len(w.Keys)-1 {
		return nil, vaneyoke.Err(vaneyoke.CodeNotFound, "%d keys have a hash that begins with %s", len(w.Keys)-len(remaining), in.Hash)
	}
	w.Keys = remaining
	return a.commit(ctx, principal, in.ChangeInput, "revoke key of "+string(in.ID), workspaceChange(w, version))
}
