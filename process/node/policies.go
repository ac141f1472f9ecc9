package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/shell/balancer"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

// drainCheckInterval is the time between evaluations of which upstreams the policies drain.
const drainCheckInterval = time.Second

// policies holds the active policies of the node.
type policies struct {
	balancer *balancer.Balancer
	log      logrus.FieldLogger
	current  atomic.Pointer[policy.Set]
}

func newPolicies(b *balancer.Balancer, log logrus.FieldLogger) *policies {
	p := &policies{balancer: b, log: log}
	p.current.Store(policy.NewSet(nil))
	return p
}

func (p *policies) set() *policy.Set { return p.current.Load() }

// apply activates a configuration.
func (p *policies) apply(snapshot *catalog.Snapshot) {
	var compiled []*policy.Policy
	for _, row := range snapshot.Policies {
		c, problems := policy.Compile([]byte(row.Text))
		if len(problems) > 0 {
			// Policies are compiled before they are accepted, so this happens only on a node with an older build.
			p.log.WithFields(logrus.Fields{"policy": row.Name, "problem": problems[0].String()}).Error("policy_not_understood")
			continue
		}
		compiled = append(compiled, c)
	}
	p.current.Store(policy.NewSet(compiled))
	p.balancer.SetUpstreams(snapshot.Upstreams, p.set().Drained(time.Now()))
}

// run updates the drained upstreams, which depend on the time of day, until ctx ends.
func (p *policies) run(ctx context.Context) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.balancer.SetDrained(p.set().Drained(now))
		}
	}
}
