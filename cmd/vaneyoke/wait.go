package main

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vaneyoke/vaneyoke"
)

const (
	waitPause = 100 * time.Millisecond
	waitLimit = 10 * time.Second
)

// waitForAll waits until every node that can be reached has a revision in force, and returns how many have.
func waitForAll(ctx context.Context, cmd *cli.Command, revision vaneyoke.Revision) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for {
		var out statusBody
		if _, err := call(ctx, cmd, adminCall{method: http.MethodGet, path: "/v1/status"}, &out); err != nil {
			return 0, err
		}
		have, behind := 0, 0
		for _, n := range out.Nodes {
			switch {
			case n.Reached && n.Revision >= revision:
				have++
			case n.Reached:
				behind++
			}
		}
		if behind == 0 {
			return have, nil
		}
		select {
		case <-ctx.Done():
			return have, vaneyoke.Err(vaneyoke.CodeNotConfirmed, "%d nodes are still behind", behind)
		case <-time.After(waitPause):
		}
	}
}
