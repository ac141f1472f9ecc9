package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// longNeed is the need of a generation with a prompt of 5,200 tokens and an answer of up to 1,120.
var longNeed = placement.Need{Kind: vaneyoke.KindService, Service: "lm", PromptBytes: 5200, AnswerTokens: 1120, Affinity: "p"}

// stateWith returns a node's state with engines that have eight slots.
func stateWith(ids ...vaneyoke.UpstreamID) *placement.State {
	s := placement.New("a", retry.DefaultBreakerConfig())
	var upstreams []vaneyoke.Upstream
	for _, id := range ids {
		upstreams = append(upstreams, vaneyoke.Upstream{ID: id, Kind: longNeed.Kind, Service: longNeed.Service, State: vaneyoke.StateLive, Slots: 8, URL: "http://" + string(id)})
	}
	s.SetUpstreams(upstreams)
	return s
}

// TestPromptSentWhereItsAnswerDoesNotFit has an engine report what it works on, and asks whether it has room for one more run.
func TestPromptSentWhereItsAnswerDoesNotFit(t *testing.T) {
	for name, tc := range map[string]struct {
		report vaneyoke.LoadReport
		sent   int // attempts of this node since the report
		free   bool
		idle   bool
	}{
		"idle":                        {vaneyoke.LoadReport{KVSize: 55_000}, 0, true, true},
		"idle, too small for two":     {vaneyoke.LoadReport{KVSize: 6400}, 0, true, true},
		"three runs":                  {vaneyoke.LoadReport{Runs: 3, KVInUse: 17_000, KVSize: 55_000}, 0, true, true},
		"six runs":                    {vaneyoke.LoadReport{Runs: 6, KVInUse: 34_000, KVSize: 55_000}, 0, true, false},
		"the answer does not fit":     {vaneyoke.LoadReport{Runs: 7, KVInUse: 43_000, KVSize: 55_000}, 0, false, false},
		"room but for growth":         {vaneyoke.LoadReport{Runs: 7, KVInUse: 42_500, KVSize: 55_000}, 0, false, false},
		"room but for a replica":      {vaneyoke.LoadReport{KVInUse: 46_000, KVSize: 55_000}, 0, false, false},
		"room but for queued prompts": {vaneyoke.LoadReport{PendingPrompts: 3, Runs: 6, KVInUse: 25_000, KVSize: 55_000}, 0, false, false},
		"room but for own attempts":   {vaneyoke.LoadReport{Runs: 5, KVInUse: 27_000, KVSize: 55_000}, 3, false, false},
		"busy with an own attempt":    {vaneyoke.LoadReport{KVSize: 55_000}, 1, true, false},
		"no slot":                     {vaneyoke.LoadReport{Runs: 8, KVInUse: 8000, KVSize: 55_000}, 0, false, false},
		"no memory given":             {vaneyoke.LoadReport{Runs: 7}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			now, s := time.Unix(1000, 0), stateWith("u")
			must.True(t, s.Assess(now, longNeed).Free) // no report yet
			s.Reported(now, "u", tc.report)
			for range tc.sent {
				s.Reserve(now.Add(time.Millisecond), "u", longNeed)
			}
			room := s.Assess(now.Add(2*time.Millisecond), longNeed)
			must.EqOp(t, tc.free, room.Free)
			must.EqOp(t, tc.idle, room.Idle)
			must.Zero(t, room.Start) // speeds are unknown
			must.Zero(t, room.Run)
			must.True(t, s.Assess(now.Add(time.Second), longNeed).Free) // the report is too old
		})
	}
}

// TestOwnAttemptsAreCountedTwice sends three attempts and gets a report that shows them.
func TestOwnAttemptsAreCountedTwice(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("u")
	for range 3 {
		s.Reserve(now, "u", longNeed)
	}
	now = now.Add(300 * time.Millisecond)
	s.Reported(now, "u", vaneyoke.LoadReport{Runs: 3, KVInUse: 17_000, KVSize: 55_000})
	must.True(t, s.Assess(now, longNeed).Idle)
}

// TestExpectedTimesAreWrong has a node learn that prompts are read at 4 tokens a millisecond, one after the other, and that answers take 8 s.
func TestExpectedTimesAreWrong(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("u", "v")
	for i := range 50 {
		now = now.Add(2 * time.Second)
		pending := i % 3
		s.Reported(now, "u", vaneyoke.LoadReport{PendingPrompts: pending, Runs: pending, KVSize: 55_000})
		s.Sent(now, "u")
		s.Reserve(now, "u", longNeed)
		elapsed := time.Duration(pending+1) * 1300 * time.Millisecond
		s.FirstToken(now.Add(elapsed), "u", elapsed, longNeed.PromptBytes)
		s.Ended(now.Add(elapsed), "u", placement.OutcomeDone, true)
		s.Completed(now, "u", longNeed, 8*time.Second)
	}
	now = now.Add(20 * time.Second)
	s.Reported(now, "u", vaneyoke.LoadReport{PendingPrompts: 2, Runs: 4, KVInUse: 20_000, KVSize: 55_000})
	room := s.Assess(now, longNeed)
	must.Between(t, 3800*time.Millisecond, room.Start, 4*time.Second)
	must.Between(t, 7900*time.Millisecond, room.Run, 8100*time.Millisecond)
	s.Reported(now, "v", vaneyoke.LoadReport{Runs: 4, KVInUse: 20_000, KVSize: 55_000})
	must.Between(t, 1200*time.Millisecond, s.Assess(now, longNeed).Start, 1400*time.Millisecond) // at the better one
	s.Reported(now, "v", vaneyoke.LoadReport{Runs: 4, KVInUse: 52_000, KVSize: 55_000})
	must.Between(t, 3800*time.Millisecond, s.Assess(now, longNeed).Start, 4*time.Second) // at the one with room
}

// TestFullEngineCountsAsFree has an engine reject a prompt although its report shows room.
func TestFullEngineCountsAsFree(t *testing.T) {
	now, s := time.Unix(1000, 0), stateWith("u", "v")
	s.Sent(now, "u")
	s.Ended(now, "u", placement.OutcomeDeclined, false)
	s.Reported(now, "u", vaneyoke.LoadReport{KVSize: 55_000})
	must.False(t, s.Assess(now, longNeed).Free)
	must.False(t, s.Assess(now, longNeed).Idle)
	s.Reported(now, "v", vaneyoke.LoadReport{KVSize: 55_000})
	must.True(t, s.Assess(now, longNeed).Free)
	now = now.Add(2 * time.Second)
	s.Reported(now, "u", vaneyoke.LoadReport{KVSize: 55_000})
	must.True(t, s.Assess(now, longNeed).Free)
}
