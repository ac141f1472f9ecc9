package watch_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// hangingSource is a source that never answers the calls made to it, or still open, between two times.
type hangingSource struct {
	from, until  time.Time
	firstAnswer  time.Time // when it first answered a later call
	losesHistory bool      // whether it loses its history at the start
}

// answer returns after a while, or hangs if the source does not answer this call.
func (s *hangingSource) answer(ctx context.Context, after time.Duration) error {
	asked := time.Now()
	if asked.Before(s.from) && asked.Add(after).After(s.from) || !asked.Before(s.from) && asked.Before(s.until) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(after)
	if s.firstAnswer.IsZero() && !asked.Before(s.until) {
		s.firstAnswer = time.Now()
	}
	return nil
}

func (s *hangingSource) List(ctx context.Context) (watch.Rows, watch.Version, error) {
	return watch.Rows{}, 1, s.answer(ctx, 0)
}

func (s *hangingSource) Changes(ctx context.Context, _ watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	if now := time.Now(); s.losesHistory && now.Before(s.from) && now.Add(wait).After(s.from) {
		time.Sleep(s.from.Sub(now))
		return nil, 0, watch.ErrHistoryLost
	}
	return nil, 1, s.answer(ctx, wait)
}

// TestFollowerRecoversAfterUnansweredCalls stops the store's answers at any moment of a call: a follower that waits for that call
// must still have the current rows within the bound after the store answers again.
func TestFollowerRecoversAfterUnansweredCalls(t *testing.T) {
	for _, losesHistory := range []bool{false, true} {
		t.Run(fmt.Sprintf("loses history %t", losesHistory), func(t *testing.T) { testRecovery(t, losesHistory) })
	}
}

func testRecovery(t *testing.T, losesHistory bool) {
	const bound = 3 * time.Second
	config := func() watch.Config { return watch.DefaultConfig().RecoverWithin(bound) }
	for downFor := 100 * time.Millisecond; downFor <= 8*time.Second; downFor += 300 * time.Millisecond {
		for startsAt := time.Duration(0); startsAt <= 4*time.Second; startsAt += 200 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				from := time.Now().Add(startsAt)
				source := &hangingSource{from: from, until: from.Add(downFor), losesHistory: losesHistory}
				log := logrus.New()
				log.SetOutput(io.Discard)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					watch.New("rows", source, config, watch.NewRetryGate(), &sink{}, log).Run(ctx)
					close(done)
				}()
				time.Sleep(startsAt + downFor + 10*time.Second)
				stop()
				<-done
				must.False(t, source.firstAnswer.IsZero())
				must.LessEq(t, bound, source.firstAnswer.Sub(source.until), must.Sprint(downFor, " starting at ", startsAt))
			})
		}
	}
}
