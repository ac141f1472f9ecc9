package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// Embedded is a target that runs in this process.
type Embedded struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	nodes []string
}

// NewEmbedded returns a target for a fleet in this process.
func NewEmbedded(f *fleet.Fleet) *Embedded {
	e := &Embedded{fleet: f}
	for _, n := range f.Nodes {
		e.nodes = append(e.nodes, n.URL())
	}
	return e
}

// Nodes returns the base URLs of the nodes.
func (e *Embedded) Nodes() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nodes
}

// Key returns the callers' API key.
func (e *Embedded) Key() string { return fleet.CallerKey }

// InjectFault injects a fault; nodes support kill, stop and restart.
func (e *Embedded) InjectFault(ctx context.Context, f Fault) error {
	kind, digits, _ := strings.Cut(f.Target, "-")
	i, _ := strconv.Atoi(digits)
	switch {
	case f.Target == "platform":
		return PostFault(ctx, e.fleet.Platform.URL(), f)
	case kind == "engine" && i < len(e.fleet.Engines):
		return PostFault(ctx, e.fleet.Engines[i].URL(), f)
	case kind == "service" && i < len(e.fleet.Services):
		return PostFault(ctx, e.fleet.Services[i].URL(), f)
	case kind == "node" && i < len(e.fleet.Nodes):
		return e.injectNodeFault(ctx, i, f)
	}
	return fmt.Errorf("no target %s", f.Target)
}

func (e *Embedded) injectNodeFault(ctx context.Context, i int, f Fault) error {
	switch f.Fault {
	case "kill":
		e.fleet.Nodes[i].Kill()
		return nil
	case "stop":
		return e.fleet.Nodes[i].Stop(ctx)
	case "restart":
		if err := e.fleet.StartNode(ctx, i); err != nil {
			return err
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		nodes := append([]string(nil), e.nodes...)
		nodes[i] = e.fleet.Nodes[i].URL()
		e.nodes = nodes
		return nil
	}
	return vaneyoke.Err(vaneyoke.CodeUsage, "a node knows kill, stop and restart, not %s", f.Fault)
}

// DecodedTokens returns how many tokens the engines have generated.
func (e *Embedded) DecodedTokens(context.Context) (int64, bool) {
	var tokens int64
	for _, engine := range e.fleet.Engines {
		tokens += engine.Stats().DecodedTokens
	}
	return tokens, true
}

// Orders returns how often the services executed each order.
func (e *Embedded) Orders(context.Context) (map[string]int, bool) {
	orders := map[string]int{}
	for _, s := range e.fleet.Services {
		for order, runs := range s.Orders() {
			orders[order] += runs
		}
	}
	return orders, true
}
