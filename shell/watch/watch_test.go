package watch_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// rows holds a table's rows as text.
type rows map[string]string

func (r rows) raw() watch.Rows {
	raw := watch.Rows{}
	for k, v := range r {
		raw[k] = watch.Row{Data: []byte(v)}
	}
	return raw
}

// sink holds what a follower passed on last.
type sink struct {
	rows rows
	kept watch.Kept
}

// Set replaces the rows by those of a follower.
func (s *sink) Set(_ time.Time, raw watch.Rows, _ watch.Version, kept watch.Kept) {
	s.rows, s.kept = rows{}, watch.Kept{Rows: maps.Clone(kept.Rows), Until: kept.Until}
	for k, v := range raw {
		s.rows[k] = string(v.Data)
	}
}

// Confirm does nothing.
func (s *sink) Confirm(time.Time, watch.Version) {}

// inUse returns the rows together with those that are kept at a time.
func (s *sink) inUse(now time.Time) rows {
	all := rows{}
	maps.Copy(all, s.rows)
	for k, v := range s.kept.Rows {
		if now.Before(s.kept.Until) {
			all[k] = string(v.Data)
		}
	}
	return all
}

// step is one answer of a scripted source.
type step struct {
	list    rows
	changes []watch.Change
	version watch.Version
	err     error
	hang    bool // until the caller's context ends
}

// scriptedSource answers calls from a list of steps, and hangs after the last one.
type scriptedSource struct {
	t     *testing.T
	steps []step
	after []watch.Version // versions after which changes were requested
	waits []time.Duration // of the calls for changes
}

var errDown = errors.New("down")

func (s *scriptedSource) next(ctx context.Context) (step, error) {
	if len(s.steps) == 0 {
		<-ctx.Done()
		return step{}, ctx.Err()
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	if st.hang {
		<-ctx.Done()
		return step{}, ctx.Err()
	}
	return st, st.err
}

func (s *scriptedSource) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	st, err := s.next(ctx)
	return st.list.raw(), st.version, err
}

func (s *scriptedSource) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	s.after = append(s.after, after)
	s.waits = append(s.waits, wait)
	st, err := s.next(ctx)
	return st.changes, st.version, err
}

// TestFollower follows a table through changes, outages and lost history, on a simulated clock.
func TestFollower(t *testing.T) {
	list := func() rows { return rows{"a": "1", "b": "2"} }
	cases := map[string]struct {
		steps []step
		want  rows
		after []watch.Version
	}{
		"list":           {[]step{{list: list(), version: 5}}, list(), []watch.Version{5}},
		"change":         {[]step{{list: list(), version: 5}, {changes: []watch.Change{{Key: "a", Row: watch.Row{Data: []byte("3")}}}, version: 8}}, rows{"a": "3", "b": "2"}, []watch.Version{5, 8}},
		"removal":        {[]step{{list: list(), version: 5}, {changes: []watch.Change{{Key: "b", Removed: true}}, version: 8}}, rows{"a": "1"}, []watch.Version{5, 8}},
		"quiet":          {[]step{{list: list(), version: 5}, {version: 9}}, list(), []watch.Version{5, 9}},
		"older version":  {[]step{{list: list(), version: 5}, {version: 3}}, list(), []watch.Version{5, 5}},
		"down at first":  {[]step{{err: errDown}, {hang: true}, {list: list(), version: 5}}, list(), []watch.Version{5}},
		"down later":     {[]step{{list: list(), version: 5}, {err: errDown}, {hang: true}, {changes: []watch.Change{{Key: "a", Removed: true}}, version: 6}}, rows{"b": "2"}, []watch.Version{5, 5, 5, 6}},
		"history lost":   {[]step{{list: list(), version: 5}, {err: watch.ErrHistoryLost}, {list: rows{"c": "4"}, version: 9}}, rows{"c": "4"}, []watch.Version{5, 9}},
		"down, then 410": {[]step{{list: list(), version: 5}, {err: errDown}, {err: watch.ErrHistoryLost}, {err: errDown}, {list: rows{"c": "4"}, version: 9}}, rows{"c": "4"}, []watch.Version{5, 5, 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &scriptedSource{t: t, steps: tc.steps}
				must.Eq(t, tc.want, run(t, source, watch.DefaultConfig, func(*watch.Follower) {}, 15*time.Second))
				must.Eq(t, tc.after, source.after[:len(tc.after)])
			})
		})
	}
}

// TestFirstListIsRetriedSoonAfterOutage starts a follower while the store is down, on a simulated clock: as long as nothing is
// known of the table, the backoff must stay short enough for a list soon after the outage, at a bounded number of calls.
func TestFirstListIsRetriedSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &outage{until: time.Now().Add(10 * time.Second)}
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			watch.New("rows", source, watch.DefaultConfig, watch.NewRetryGate(), &sink{}, log).Run(ctx)
			close(done)
		}()
		time.Sleep(15 * time.Second) // on the simulated clock
		stop()
		<-done
		must.LessEq(t, 250*time.Millisecond, source.listedAt.Sub(source.until))
		must.LessEq(t, 10*8+4, source.failedCalls) // every call to the store has a cost
	})
}

// outage is a source that is down until a given time.
type outage struct {
	until, listedAt time.Time
	failedCalls     int
}

func (o *outage) List(context.Context) (watch.Rows, watch.Version, error) {
	if time.Now().Before(o.until) {
		o.failedCalls++
		return nil, 0, errDown
	}
	o.listedAt = time.Now()
	return watch.Rows{}, 1, nil
}

func (o *outage) Changes(ctx context.Context, _ watch.Version, _ time.Duration) ([]watch.Change, watch.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestResumedFollower starts a follower from given rows: it lists nothing, asks at once for later changes, and lists again
// only if the history is lost.
func TestResumedFollower(t *testing.T) {
	cases := map[string]struct {
		steps []step
		want  rows
		after []watch.Version
	}{
		"nothing new":  {[]step{{version: 7}}, rows{}, []watch.Version{5, 7}},
		"change":       {[]step{{changes: []watch.Change{{Key: "a", Row: watch.Row{Data: []byte("3")}}}, version: 8}}, rows{"a": "3", "b": "2"}, []watch.Version{5, 8}},
		"history lost": {[]step{{err: watch.ErrHistoryLost}, {list: rows{"c": "4"}, version: 9}}, rows{"c": "4"}, []watch.Version{5, 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &scriptedSource{t: t, steps: tc.steps}
				resume := func(f *watch.Follower) { f.Resume(rows{"a": "1", "b": "2"}.raw(), 5) }
				must.Eq(t, tc.want, run(t, source, watch.DefaultConfig, resume, time.Second))
				must.Eq(t, tc.after, source.after)
				must.EqOp(t, 0, source.waits[0])
				must.Positive(t, source.waits[len(source.waits)-1])
			})
		})
	}
}

// run follows a source for a while on the simulated clock, after calling configure with the follower.
func run(t *testing.T, source watch.Source, config func() watch.Config, configure func(*watch.Follower), duration time.Duration) rows {
	t.Helper()
	got := &sink{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := watch.New("rows", source, config, watch.NewRetryGate(), got, log)
	configure(f)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	time.Sleep(duration)
	stop()
	<-done
	return got.inUse(time.Now())
}

// expiringSource is a source whose rows expire during an outage; one of them may be written again some time after it.
type expiringSource struct {
	start          time.Time
	outage         time.Duration // length of the outage, which starts after one second
	rewrittenAfter time.Duration // from the end of the outage until the row "returns" is written again; 0 for never
	historyLost    bool          // whether the outage loses the history
}

func (s *expiringSource) now() time.Duration { return time.Since(s.start) }

func (s *expiringSource) down() bool { return s.now() >= time.Second && s.now() < time.Second+s.outage }

func (s *expiringSource) rewritten() bool {
	return s.rewrittenAfter > 0 && s.now() >= time.Second+s.outage+s.rewrittenAfter
}

func (s *expiringSource) List(context.Context) (watch.Rows, watch.Version, error) {
	switch {
	case s.down():
		return nil, 0, errDown
	case s.now() < time.Second:
		return rows{"stays": "1", "returns": "1", "goes": "1"}.raw(), 5, nil
	case s.rewritten():
		return rows{"stays": "1", "returns": "1"}.raw(), 8, nil
	default:
		return rows{"stays": "1"}.raw(), 7, nil
	}
}

func (s *expiringSource) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	for end := s.now() + wait; ; time.Sleep(10 * time.Millisecond) {
		switch {
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case s.down():
			return nil, 0, errDown
		case s.now() >= time.Second && after < 7 && s.historyLost:
			return nil, 0, watch.ErrHistoryLost
		case s.now() >= time.Second && after < 7:
			return []watch.Change{{Key: "returns", Removed: true}, {Key: "goes", Removed: true}}, 7, nil
		case s.rewritten() && after < 8:
			return []watch.Change{{Key: "returns", Row: watch.Row{Data: []byte("1")}}}, 8, nil
		case s.now() >= end:
			return nil, after, nil
		}
	}
}

// TestRowsExpiredDuringOutageAreKeptForGracePeriod ends an outage after which rows are missing that will be written again soon: they
// are kept for the grace period and no longer, while rows removed without an outage go at once.
func TestRowsExpiredDuringOutageAreKeptForGracePeriod(t *testing.T) {
	cases := map[string]struct {
		source expiringSource
		at     time.Duration // after the outage
		want   rows
	}{
		"just back":                            {expiringSource{outage: 5 * time.Second}, time.Second, rows{"stays": "1", "returns": "1", "goes": "1"}},
		"after the grace period":               {expiringSource{outage: 5 * time.Second}, 4 * time.Second, rows{"stays": "1"}},
		"one is written again":                 {expiringSource{outage: 5 * time.Second, rewrittenAfter: 1200 * time.Millisecond}, 4 * time.Second, rows{"stays": "1", "returns": "1"}},
		"history lost":                         {expiringSource{outage: 5 * time.Second, historyLost: true}, time.Second, rows{"stays": "1", "returns": "1", "goes": "1"}},
		"history lost, after the grace period": {expiringSource{outage: 5 * time.Second, historyLost: true}, 4 * time.Second, rows{"stays": "1"}},
		"no outage":                            {expiringSource{}, 500 * time.Millisecond, rows{"stays": "1"}},
		"short outage":                         {expiringSource{outage: 300 * time.Millisecond}, 700 * time.Millisecond, rows{"stays": "1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := tc.source
				source.start = time.Now()
				config := func() watch.Config {
					c := watch.DefaultConfig()
					c.RemovalGrace = 2 * time.Second
					return c
				}
				unchanged := func(*watch.Follower) {}
				must.Eq(t, tc.want, run(t, &source, config, unchanged, time.Second+source.outage+tc.at))
			})
		})
	}
}
