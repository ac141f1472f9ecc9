package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/settings"
)

// Process is a node that serves callers.
type Process interface {
	// Start opens the node's addresses and begins to serve.
	Start(ctx context.Context) error
	// Reload takes in changed settings as far as they can change while the node runs.
	Reload(s settings.Settings)
	// Stop lets the open requests finish within the grace, and closes the node.
	Stop(ctx context.Context) error
}

// New puts together the node that the settings ask for: one that takes opaque requests, or one with the caller API.
func New(s settings.Settings, log logrus.FieldLogger) (Process, error) {
	if s.Gateway.Serves() {
		return BuildGateway(s, log)
	}
	return Build(s, log)
}
