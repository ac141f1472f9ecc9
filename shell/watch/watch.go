package watch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// ErrHistoryLost reports that the store no longer has the changes since a version, so that all rows have to be listed again.
var ErrHistoryLost = errors.New("the store has lost the history since that version")

// Version counts the store's transactions.
type Version uint64

// Row holds a row's data and the version of the transaction that wrote it.
type Row struct {
	Data    []byte
	Version Version
}

// Rows holds a table's rows by key.
type Rows map[string]Row

// Kept holds rows that the store does not have any more and that are still used until a time, since their writers may write them again: they could not
// reach the store either.
type Kept struct {
	Rows  Rows
	Until time.Time
}

// Change is a row that was written or removed.
type Change struct {
	Key     string
	Row     Row
	Removed bool
}

// Source is a table in the store.
type Source interface {
	// List returns all rows as of one version.
	List(ctx context.Context) (Rows, Version, error)
	// Changes waits for changes after a version, and returns them in order with the version that they lead to. It returns
	// none when the given time has passed, and ErrHistoryLost if the rows have to be listed again.
	Changes(ctx context.Context, after Version, wait time.Duration) ([]Change, Version, error)
}

// Sink receives the contents of a followed table.
type Sink interface {
	// Set receives all rows as of a version, and removed ones that are to be kept beside them; it must not keep or change either. The sink ends the use of kept
	// rows in time, whether it hears from the follower again or not.
	Set(now time.Time, rows Rows, version Version, kept Kept)
	// Confirm reports that the rows have not changed up to a version.
	Confirm(now time.Time, version Version)
}

// Config holds the timeouts and delays of a follower.
type Config struct {
	PollWait       time.Duration // how long the store holds a call that waits for changes
	PollSlack      time.Duration // how much longer than PollWait a call may take before it times out
	ListTimeout    time.Duration // timeout of a call that lists all rows
	BaseBackoff    time.Duration // longest delay after the first failure in a row; doubled by each further one
	MaxBackoff     time.Duration // longest delay after a failure
	MaxListBackoff time.Duration // longest delay after a failure while the rows have to be listed
	// BatchDelay is the delay after a list or a change. Changes made in the meantime are read together, so that many cost few calls.
	BatchDelay time.Duration
	// RemovalGrace is how long rows that are missing when the store comes back after an outage are kept; 0 for not at all.
	RemovalGrace time.Duration
}

// DefaultConfig returns the default timeouts and delays.
func DefaultConfig() Config {
	return Config{
		PollWait: 3 * time.Second, PollSlack: 800 * time.Millisecond, ListTimeout: 1600 * time.Millisecond, BaseBackoff: 100 * time.Millisecond, MaxBackoff: 800 * time.Millisecond,
		MaxListBackoff: 250 * time.Millisecond,
		BatchDelay:     200 * time.Millisecond,
	}
}

// minPollWaitRatio is the least time for which a call waits for changes, as a share of the recovery bound.
const minPollWaitRatio = 0.25

// RecoverWithin returns c with a PollWait that lets a follower have the current rows within bound after the store answers
// again, even if a call made before hangs until its timeout.
func (c Config) RecoverWithin(bound time.Duration) Config {
	left := bound - c.PollSlack - c.MaxListBackoff - c.BaseBackoff // a list that hangs is given up after the same time, and retried after a delay
	c.PollWait = min(c.PollWait, max(left, time.Duration(minPollWaitRatio*float64(bound))))
	return c
}

// Follower keeps a copy of a table's rows.
type Follower struct {
	name   string
	source Source
	config func() Config // read before each call
	gate   *RetryGate
	sink   Sink
	log    logrus.FieldLogger

	rows     Rows
	version  Version
	listed   bool
	resumed  bool // whether the rows come from Resume, and the store has not yet been asked for changes since
	failures int  // in a row
	removals removalHold
}

// New returns a follower that passes the table's contents to the sink; config is called before each call to the store.
// The name identifies the table in the log. Followers that share a gate call the store one at a time while it does not answer.
func New(name string, source Source, config func() Config, gate *RetryGate, sink Sink, log logrus.FieldLogger) *Follower {
	return &Follower{name: name, source: source, config: config, gate: gate, sink: sink, log: log}
}

// Resume starts the follower from rows that are known as of a version, so that only later changes are read.
func (f *Follower) Resume(rows Rows, version Version) {
	f.rows, f.version, f.listed, f.resumed = rows, version, true, true
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		exclusive := f.gate.acquire(ctx)
		changed, err := f.step(ctx)
		f.gate.release(exclusive, err == nil || errors.Is(err, ErrHistoryLost), f.config(), f.listed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.recordRecovery()
			if changed {
				pause.For(ctx, f.config().BatchDelay)
			}
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			f.listed, f.resumed = false, false
			f.log.WithFields(logrus.Fields{"table": f.name, "version": f.version}).Warn("history_lost")
			continue
		}
		f.recordFailure(steady.Now(), err)
	}
}

// step makes one call to the store and applies its result; changed reports whether there was a change.
func (f *Follower) step(ctx context.Context) (changed bool, err error) {
	config := f.config()
	if !f.listed {
		return true, f.list(ctx, config)
	}
	wait := f.pollWait(config)
	ctx, cancel := context.WithTimeout(ctx, wait+config.PollSlack)
	defer cancel()
	changes, version, err := f.source.Changes(ctx, f.version, wait)
	if err != nil {
		return false, err
	}
	now := steady.Now()
	f.removals.storeRecovered(now, config.RemovalGrace)
	f.resumed = false
	f.version = max(f.version, version)
	f.applyChanges(now, changes)
	if len(changes) > 0 {
		f.publish(now)
		return true, nil
	}
	f.sink.Confirm(now, f.version)
	return false, nil
}

// pollWait returns how long the next call waits for changes.
func (f *Follower) pollWait(config Config) time.Duration {
	if f.resumed || f.failures > 0 { // learn at once how old the rows are
		return 0
	}
	return config.PollWait
}

func (f *Follower) list(ctx context.Context, config Config) error {
	ctx, cancel := context.WithTimeout(ctx, config.ListTimeout)
	defer cancel()
	rows, version, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	now := steady.Now()
	f.removals.storeRecovered(now, config.RemovalGrace)
	for key, row := range f.rows {
		if _, ok := rows[key]; !ok {
			f.removals.rowRemoved(now, key, row)
		}
	}
	f.rows, f.version, f.listed = rows, version, true
	f.publish(now)
	return nil
}

func (f *Follower) applyChanges(now time.Time, changes []Change) {
	for _, c := range changes {
		if !c.Removed {
			f.rows[c.Key] = c.Row
			continue
		}
		if row, ok := f.rows[c.Key]; ok {
			f.removals.rowRemoved(now, c.Key, row)
		}
		delete(f.rows, c.Key)
	}
}

// publish passes the rows to the sink.
func (f *Follower) publish(now time.Time) {
	f.sink.Set(now, f.rows, f.version, f.removals.kept(now, f.rows))
}

// recordFailure counts a failure, and logs the first in a row.
func (f *Follower) recordFailure(now time.Time, err error) {
	f.failures++
	f.removals.storeFailed(now)
	if f.failures == 1 {
		f.log.WithFields(logrus.Fields{"table": f.name, "version": f.version, "error": err}).Warn("store_lost")
	}
}

// recordRecovery logs the end of a series of failures.
func (f *Follower) recordRecovery() {
	if f.failures > 0 {
		f.log.WithFields(logrus.Fields{"table": f.name, "version": f.version, "failures": f.failures}).Info("store_regained")
		f.failures = 0
	}
}
