package node

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/process/settings"
)

// Process is a node of either kind: with the caller API or for opaque requests.
type Process interface {
	// Start opens the node's listeners and starts serving.
	Start(ctx context.Context) error
	// Reload applies those changed settings that can change while the node runs.
	Reload(s settings.Settings)
	// StopDeadline returns until when a stop that begins at the given time ends the node; the rest of the grace is left to the process's exit.
	StopDeadline(begins time.Time) time.Time
	// Stop waits up to the grace for open requests to finish, and closes the node.
	Stop(ctx context.Context) error
}

// New assembles the kind of node that the settings select: one that serves opaque requests, or one with the caller API.
// lostLineCount returns how many log lines were lost; the options apply to a node that serves opaque requests.
func New(s settings.Settings, log logrus.FieldLogger, lostLineCount func() int64, options ...Option) (Process, error) {
	lost := expvar.Func(func() any { return lostLineCount() })
	if s.Gateway.ServesOpaque() {
		n, err := BuildGateway(s, log, options...)
		if err != nil {
			return nil, err
		}
		n.vars.Set(lostLinesMetric, lost)
		return n, nil
	}
	n, err := Build(s, log)
	if err != nil {
		return nil, err
	}
	n.vars.Set(lostLinesMetric, lost)
	return n, nil
}

const lostLinesMetric = "log_lines_lost_total"
