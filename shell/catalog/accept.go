package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/freshness"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

// confirmPause is the time between two rounds of questions whether a change is in force.
const confirmPause = 50 * time.Millisecond

// AwaitAccepted asks the members until a majority has a revision in force; only then may the change be told as accepted.
// It returns the revision of each member that answered.
func (f *Follower) AwaitAccepted(ctx context.Context, revision vaneyoke.Revision) (map[vaneyoke.VMID]vaneyoke.Revision, error) {
	for {
		if f.Current().Revision < revision {
			f.TriggerPoll()
		}
		members, have := f.ActiveRevisions(ctx, revision)
		// Whose confirmation counts is told by the revision itself, so the own node has to have it first.
		if have[f.self.VM] >= revision && freshness.Accepted(members, have, revision) {
			return have, nil
		}
		if !pause.For(ctx, confirmPause) {
			return have, vaneyoke.Err(vaneyoke.CodeNotConfirmed, "revision %d is committed and in force at %d of %d nodes", revision, len(have), len(members))
		}
	}
}

// ActiveRevisions asks all members once which revision they have in force; they are told of the given one.
func (f *Follower) ActiveRevisions(ctx context.Context, revision vaneyoke.Revision) ([]vaneyoke.VMID, map[vaneyoke.VMID]vaneyoke.Revision) {
	current := f.Current()
	members := current.Members()
	have := map[vaneyoke.VMID]vaneyoke.Revision{f.self.VM: current.Revision}
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
			have[vm] = got
		})
	}
	wait.Wait()
	return members, have
}
