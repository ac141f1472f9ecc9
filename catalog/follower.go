package catalog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/platform"
)

// pollJitter is the share of a poll period that is random, so that nodes do not read in step.
const pollJitter = 0.2

// Follower keeps the newest configuration that the node has seen.
type Follower struct {
	table   platform.Table
	period  time.Duration
	log     logrus.FieldLogger
	apply   func(*Snapshot)
	current atomic.Pointer[Snapshot]
}

// NewFollower returns a follower that reads the revision once in a period and calls apply with each newer configuration.
func NewFollower(table platform.Table, period time.Duration, log logrus.FieldLogger, apply func(*Snapshot)) *Follower {
	f := &Follower{table: table, period: period, log: log, apply: apply}
	f.current.Store(New(0, nil, nil))
	return f
}

// Current returns the newest configuration seen; before the first it has revision 0 and is empty.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx); err != nil && ctx.Err() == nil {
			f.log.WithField("error", err).Warn("configuration_read_failed")
		}
		jitter := 1 - pollJitter*rand.Float64()
		timer := time.NewTimer(time.Duration(float64(f.period) * jitter))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Poll reads the revision, and the configuration where it is newer; an older one is never taken.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, max(f.period, time.Second))
	defer cancel()
	revision, err := ReadRevision(ctx, f.table)
	if err != nil || revision <= f.Current().Revision {
		return err
	}
	snapshot, err := Read(ctx, f.table)
	if err != nil || snapshot.Revision <= f.Current().Revision {
		return err
	}
	f.current.Store(snapshot)
	f.apply(snapshot)
	f.log.WithField("policy", uint64(snapshot.Revision)).Info("configuration_applied")
	return nil
}
