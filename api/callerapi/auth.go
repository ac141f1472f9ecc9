package callerapi

import (
	"strings"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

const securityName = "key"

// security says that an operation needs a key.
var security = []map[string][]string{{securityName: {}}}

// admit checks that the node takes new work and that the key names a workspace.
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
	holder, ok := snapshot.Principal(key)
	if !ok {
		return vaneyoke.Workspace{}, vaneyoke.Err(vaneyoke.CodeUnknownKey, "the bearer key is unknown or revoked")
	}
	if err := mayCall(holder); err != nil {
		return vaneyoke.Workspace{}, err
	}
	workspace, _ := snapshot.Workspace(holder.Workspace)
	return workspace, nil
}

func mayCall(holder catalog.Principal) error {
	if holder.Role == vaneyoke.RoleCaller {
		return nil
	}
	return vaneyoke.Err(vaneyoke.CodeForbidden, "a key with the role %s runs no requests", holder.Role)
}
