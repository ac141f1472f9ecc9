package callerapi

import (
	"strings"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

const securityName = "key"

// security marks an operation as requiring a key.
var security = []map[string][]string{{securityName: {}}}

// admit checks that the node accepts new requests and that the key belongs to a workspace.
func (a *API) admit(authorization string) (vaneyoke.Workspace, error) {
	if err := a.directory.Ready(); err != nil {
		return vaneyoke.Workspace{}, err
	}
	return a.identify(authorization)
}

func (a *API) identify(authorization string) (vaneyoke.Workspace, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return vaneyoke.Workspace{}, vaneyoke.Err(vaneyoke.CodeNoKey, "the Authorization header holds no bearer key")
	}
	snapshot := a.directory.Current()
	principal, ok := snapshot.Principal(key)
	if !ok {
		return vaneyoke.Workspace{}, vaneyoke.Err(vaneyoke.CodeUnknownKey, "the bearer key is unknown or revoked")
	}
	if err := checkRole(principal); err != nil {
		return vaneyoke.Workspace{}, err
	}
	workspace, _ := snapshot.Workspace(principal.Workspace)
	return workspace, nil
}

func checkRole(principal catalog.Principal) error {
	if principal.Role == vaneyoke.RoleCaller {
		return nil
	}
	return vaneyoke.Err(vaneyoke.CodeForbidden, "a key with the role %s runs no requests", principal.Role)
}
