package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/freshness"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// confirmInterval is the time between two rounds of queries whether a change is active.
const confirmInterval = 50 * time.Millisecond

// AwaitAccepted queries the members until a revision is active at a majority of them; only then may the change be reported as
// accepted. It returns the revision of each member that answered.
func (f *Follower) AwaitAccepted(ctx context.Context, revision vaneyoke.Revision) (map[vaneyoke.VMID]vaneyoke.Revision, error) {
	for {
		if f.Current().Revision < revision {
			f.TriggerPoll()
		}
		members, revisions := f.ActiveRevisions(ctx, revision)
		// The revision itself defines whose confirmation counts, so this node needs it first.
		if revisions[f.self.VM] >= revision && freshness.Accepted(members, revisions, revision) {
			return revisions, nil
		}
		if !pause.For(ctx, confirmInterval) {
			return revisions, vaneyoke.Err(vaneyoke.CodeNotConfirmed, "revision %d is committed and in force at %d of %d nodes", revision, len(revisions), len(members))
		}
	}
}

// ActiveRevisions queries all members once for their active revision, and tells them of the given one.
func (f *Follower) ActiveRevisions(ctx context.Context, revision vaneyoke.Revision) ([]vaneyoke.VMID, map[vaneyoke.VMID]vaneyoke.Revision) {
	current := f.Current()
	members := current.Members()
	revisions := map[vaneyoke.VMID]vaneyoke.Revision{f.self.VM: current.Revision}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, vm := range members {
		if vm == f.self.VM {
			continue
		}
		wait.Go(func() {
			got, _, err := f.peers.Confirm(ctx, vm, revision, false)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			revisions[vm] = got
		})
	}
	wait.Wait()
	return members, revisions
}
