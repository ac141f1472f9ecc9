package load

import (
	"context"
	"fmt"
)

// Remote is a target that runs in other processes.
type Remote struct {
	URLs     []string          // base URLs of the nodes or of the load balancer
	Caller   string            // API key of the callers
	StandIns map[string]string // base URLs of the stand-ins, by name
}

// Nodes returns the base URLs of the nodes.
func (r *Remote) Nodes() []string { return r.URLs }

// Key returns the callers' API key.
func (r *Remote) Key() string { return r.Caller }

// InjectFault injects a fault into a stand-in.
func (r *Remote) InjectFault(ctx context.Context, f Fault) error {
	url, ok := r.StandIns[f.Target]
	if !ok {
		return fmt.Errorf("no target %s", f.Target)
	}
	return PostFault(ctx, url, f)
}

// DecodedTokens reports false: the count is not available from other processes.
func (r *Remote) DecodedTokens(context.Context) (int64, bool) { return 0, false }

// Orders reports false: the counts are not available from other processes.
func (r *Remote) Orders(context.Context) (map[string]int, bool) { return nil, false }
