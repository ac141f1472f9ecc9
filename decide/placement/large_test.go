package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// fleetOf returns count upstreams of one service; IDs and addresses differ between generations.
func fleetOf(count, generation int) []vaneyoke.Upstream {
	all := make([]vaneyoke.Upstream, count)
	for i := range all {
		all[i] = vaneyoke.Upstream{
			ID: vaneyoke.UpstreamID(fmt.Sprintf("i-%08x-%d", i*2654435761%(1<<32), generation)), Kind: vaneyoke.KindService, Service: "lm", DataCentre: "a",
			URL: fmt.Sprintf("http://10.%d.%d.%d:8044", generation, i/250, i%250), State: vaneyoke.StateLive, Slots: 32,
		}
	}
	return all
}

// place makes the calls that the placement of one generation needs.
func place(s *placement.State, now time.Time, rng *rand.Rand, n int) {
	prompt := placement.Need{Kind: vaneyoke.KindService, Service: "lm", Affinity: fmt.Sprint("prompt-", n), PromptBytes: 5000}
	s.AffinityUpstreams(now, prompt)
	s.SpilloverUpstreams(now, rng, prompt)
	s.HasRoom(now, prompt)
	_, _, _ = s.Pick(now, rng, prompt)
}

func BenchmarkPlaceGeneration(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, rng, now := placement.New("a", retry.DefaultBreakerConfig()), rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
			s.SetUpstreams(fleetOf(count, 1))
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				place(s, now, rng, n)
			}
		})
	}
}

func BenchmarkReplaceAll(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before, after := fleetOf(count, 1), fleetOf(count, 2)
			for b.Loop() {
				s := placement.New("a", retry.DefaultBreakerConfig())
				s.SetUpstreams(before)
				s.SetUpstreams(after)
			}
		})
	}
}

// TestPlacingAGenerationAllocatesLittle places generations among 10,000 upstreams: the memory allocated per generation does not grow with the fleet.
func TestPlacingAGenerationAllocatesLittle(t *testing.T) {
	const placed = 50
	bytesFor := func(count int) uint64 {
		s, rng, now := placement.New("a", retry.DefaultBreakerConfig()), rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
		s.SetUpstreams(fleetOf(count, 1))
		place(s, now, rng, 0)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for n := range placed {
			place(s, now, rng, n)
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	must.LessEq(t, 2*bytesFor(100), bytesFor(10_000))
}

// TestReplacingAllGrowsWithTheirNumber replaces all upstreams at once, as after the recovery of a data centre: eight times as many take about eight
// times as long, not 64 times. The processor time of the thread is compared, since other processes stretch the longer of two elapsed times more.
func TestReplacingAllGrowsWithTheirNumber(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := func(count int) time.Duration {
		before, after := fleetOf(count, 1), fleetOf(count, 2)
		least := time.Hour
		for range 5 {
			s := placement.New("a", retry.DefaultBreakerConfig())
			s.SetUpstreams(before)
			began := threadTime(t)
			s.SetUpstreams(after)
			least = min(least, threadTime(t)-began)
		}
		return least
	}
	must.LessEq(t, 30*shortest(1000), shortest(8000))
}

// threadTime returns the processor time that the calling thread has used.
func threadTime(t *testing.T) time.Duration {
	var used unix.Timespec
	must.NoError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used))
	return time.Duration(used.Nano())
}
