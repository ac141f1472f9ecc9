package watch_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/watch"
)

// rows are a table's rows as text.
type rows map[string]string

func (r rows) raw() watch.Rows {
	raw := watch.Rows{}
	for k, v := range r {
		raw[k] = watch.Row{Data: []byte(v)}
	}
	return raw
}

// Set takes in what a follower tells.
func (r rows) Set(_ time.Time, raw watch.Rows, _ watch.Version) {
	clear(r)
	for k, v := range raw {
		r[k] = string(v.Data)
	}
}

// Confirm is of no interest here.
func (r rows) Confirm(time.Time, watch.Version) {}

// step is one answer of a scripted source.
type step struct {
	list    rows
	changes []watch.Change
	version watch.Version
	err     error
	hang    bool // until the caller gives up
}

// script answers calls in turn, and then waits for good.
type script struct {
	t     *testing.T
	steps []step
	after []watch.Version // versions from which changes were asked for
	waits []time.Duration // for which changes were waited for
}

var errDown = errors.New("down")

func (s *script) next(ctx context.Context) (step, error) {
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

func (s *script) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	st, err := s.next(ctx)
	return st.list.raw(), st.version, err
}

func (s *script) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	s.after = append(s.after, after)
	s.waits = append(s.waits, wait)
	st, err := s.next(ctx)
	return st.changes, st.version, err
}

// TestFollower runs through outages and lost history on a clock of its own.
func TestFollower(t *testing.T) {
	list := func() rows { return rows{"a": "1", "b": "2"} }
	cases := map[string]struct {
		steps []step
		want  rows
		after []watch.Version
	}{
		"list":           {[]step{{list: list(), version: 5}}, list(), []watch.Version{5}},
		"change":         {[]step{{list: list(), version: 5}, {changes: []watch.Change{{Key: "a", Row: watch.Row{Data: []byte("3")}}}, version: 8}}, rows{"a": "3", "b": "2"}, []watch.Version{5, 8}},
		"removal":        {[]step{{list: list(), version: 5}, {changes: []watch.Change{{Key: "b", Gone: true}}, version: 8}}, rows{"a": "1"}, []watch.Version{5, 8}},
		"quiet":          {[]step{{list: list(), version: 5}, {version: 9}}, list(), []watch.Version{5, 9}},
		"older version":  {[]step{{list: list(), version: 5}, {version: 3}}, list(), []watch.Version{5, 5}},
		"down at first":  {[]step{{err: errDown}, {hang: true}, {list: list(), version: 5}}, list(), []watch.Version{5}},
		"down later":     {[]step{{list: list(), version: 5}, {err: errDown}, {hang: true}, {changes: []watch.Change{{Key: "a", Gone: true}}, version: 6}}, rows{"b": "2"}, []watch.Version{5, 5, 5, 6}},
		"history lost":   {[]step{{list: list(), version: 5}, {err: watch.ErrHistoryLost}, {list: rows{"c": "4"}, version: 9}}, rows{"c": "4"}, []watch.Version{5, 9}},
		"down, then 410": {[]step{{list: list(), version: 5}, {err: errDown}, {err: watch.ErrHistoryLost}, {err: errDown}, {list: rows{"c": "4"}, version: 9}}, rows{"c": "4"}, []watch.Version{5, 5, 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &script{t: t, steps: tc.steps}
				got := rows{}
				log := logrus.New()
				log.SetOutput(io.Discard)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					watch.New("rows", source, watch.DefaultConfig, got, log).Run(ctx)
					close(done)
				}()
				time.Sleep(15 * time.Second) // of the clock of its own
				stop()
				<-done
				must.Eq(t, tc.want, got)
				must.Eq(t, tc.after, source.after[:len(tc.after)])
			})
		})
	}
}

// TestFirstLookIsNotPutOff has the store down for a while, on a clock of its own, before anything is known of a table.
func TestFirstLookIsNotPutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &outage{until: time.Now().Add(10 * time.Second)}
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			watch.New("rows", source, watch.DefaultConfig, rows{}, log).Run(ctx)
			close(done)
		}()
		time.Sleep(15 * time.Second) // of the clock of its own
		stop()
		<-done
		must.LessEq(t, 250*time.Millisecond, source.listed.Sub(source.until))
		must.LessEq(t, 10*8+4, source.refused) // each call has its price
	})
}

// outage is a source that is down up to a time.
type outage struct {
	until, listed time.Time
	refused       int
}

func (o *outage) List(context.Context) (watch.Rows, watch.Version, error) {
	if time.Now().Before(o.until) {
		o.refused++
		return nil, 0, errDown
	}
	o.listed = time.Now()
	return watch.Rows{}, 1, nil
}

func (o *outage) Changes(ctx context.Context, _ watch.Version, _ time.Duration) ([]watch.Change, watch.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestResumedFollower goes on from rows that it was given: it lists nothing, asks at once whether they are the newest, and
// lists again only where the history is gone.
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
				source := &script{t: t, steps: tc.steps}
				got := rows{}
				log := logrus.New()
				log.SetOutput(io.Discard)
				f := watch.New("rows", source, watch.DefaultConfig, got, log)
				f.Resume(rows{"a": "1", "b": "2"}.raw(), 5)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					f.Run(ctx)
					close(done)
				}()
				time.Sleep(time.Second) // of the clock of its own
				stop()
				<-done
				must.Eq(t, tc.want, got)
				must.Eq(t, tc.after, source.after)
				must.EqOp(t, 0, source.waits[0])
				must.Positive(t, source.waits[len(source.waits)-1])
			})
		})
	}
}
