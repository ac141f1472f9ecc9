package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

// ErrHistoryLost says that the store no longer knows the changes since a version, so that all rows have to be read.
var ErrHistoryLost = errors.New("the store has lost the history since that version")

// Version counts the store's transactions.
type Version uint64

// Rows are a table's rows by their keys.
type Rows[T any] map[string]T

// Change is a row that was written or, where Gone, removed.
type Change[T any] struct {
	Key   string
	Value T
	Gone  bool
}

// Source is a table in the store.
type Source[T any] interface {
	// List returns all rows as of one version.
	List(ctx context.Context) (Rows[T], Version, error)
	// Changes waits for changes after a version, and returns them in order with the version that they lead to; without
	// any, it returns after the given time. It returns ErrHistoryLost where the rows have to be listed again.
	Changes(ctx context.Context, after Version, wait time.Duration) ([]Change[T], Version, error)
}

// Config holds the times of a follower.
type Config struct {
	Wait  time.Duration // how long one call waits for changes
	Slack time.Duration // how much longer an answer may take before the call is given up
	Pause time.Duration // longest pause after the first failure in a row; each further one doubles it
	Most  time.Duration // longest pause after a failure
}

// DefaultConfig returns the times that the nodes start from.
func DefaultConfig() Config {
	return Config{
		Wait: 3 * time.Second, Slack: 800 * time.Millisecond, Pause: 100 * time.Millisecond, Most: 800 * time.Millisecond,
	}
}

// Follower keeps a copy of a table's rows.
type Follower[T any] struct {
	name   string
	source Source[T]
	config Config
	apply  func(now time.Time, rows Rows[T])
	log    logrus.FieldLogger

	rows    Rows[T]
	version Version
	listed  bool
	failed  int // calls in a row
}

// New returns a follower that gives the rows to apply after each change; apply must not keep or change them.
// The name stands for the table in the log.
func New[T any](name string, source Source[T], config Config, apply func(now time.Time, rows Rows[T]), log logrus.FieldLogger) *Follower[T] {
	return &Follower[T]{name: name, source: source, config: config, apply: apply, log: log}
}

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.regained()
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			f.listed = false
			f.log.WithFields(logrus.Fields{"table": f.name, "version": f.version}).Warn("history_lost")
			continue
		}
		f.lost(err)
		sleep(ctx, f.pause())
	}
}

// step makes one call and takes in what it tells.
func (f *Follower[T]) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.config.Wait+f.config.Slack)
	defer cancel()
	if !f.listed {
		return f.list(ctx)
	}
	changes, version, err := f.source.Changes(ctx, f.version, f.config.Wait)
	if err != nil {
		return err
	}
	f.version = max(f.version, version)
	if len(changes) > 0 {
		f.take(changes)
	}
	return nil
}

func (f *Follower[T]) list(ctx context.Context) error {
	rows, version, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.rows, f.version, f.listed = rows, version, true
	f.apply(time.Now(), f.rows)
	return nil
}

func (f *Follower[T]) take(changes []Change[T]) {
	for _, c := range changes {
		if c.Gone {
			delete(f.rows, c.Key)
			continue
		}
		f.rows[c.Key] = c.Value
	}
	f.apply(time.Now(), f.rows)
}

// lost counts a failure; the first in a row is logged.
func (f *Follower[T]) lost(err error) {
	f.failed++
	if f.failed == 1 {
		f.log.WithFields(logrus.Fields{"table": f.name, "version": f.version, "error": err}).Warn("store_lost")
	}
}

func (f *Follower[T]) regained() {
	if f.failed > 0 {
		f.log.WithFields(logrus.Fields{"table": f.name, "version": f.version, "failures": f.failed}).Info("store_regained")
		f.failed = 0
	}
}

// pause returns a random pause that grows with the failures in a row, so that the nodes do not come back as one.
func (f *Follower[T]) pause() time.Duration {
	full := f.config.Most
	if shift := f.failed - 1; shift < 16 {
		full = min(f.config.Pause<<shift, full)
	}
	return full/2 + rand.N(full/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
