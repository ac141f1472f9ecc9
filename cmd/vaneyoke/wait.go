package main

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
)

const (
	waitPollInterval = 100 * time.Millisecond
	waitTimeout      = 10 * time.Second
)

// waitForAll waits until a revision is active on every node that can be reached, and returns the number of these nodes.
func waitForAll(ctx context.Context, cmd *cli.Command, revision vaneyoke.Revision) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		var out statusBody
		if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/status"}, &out); err != nil {
			return 0, err
		}
		active, behind := 0, 0
		for _, n := range out.Nodes {
			switch {
			case n.Reached && n.Revision >= revision:
				active++
			case n.Reached:
				behind++
			}
		}
		if behind == 0 {
			return active, nil
		}
		select {
		case <-ctx.Done():
			return active, vaneyoke.Err(vaneyoke.CodeNotConfirmed, "%d nodes are still behind", behind)
		case <-time.After(waitPollInterval):
		}
	}
}
