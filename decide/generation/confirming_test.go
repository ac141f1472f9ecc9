package generation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
)

// Guards against whole streams that break off near their deadline, as the attempt that is to confirm their end is taken for one that makes the chunks which
// answers usually have.
func TestConfirmationCountsAsTheRestOfTheAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	config := generation.DefaultConfig()
	config.Opaque, config.Repeatable, config.UsefulOnly = true, true, true
	config.MaxAttempts, config.MaxWait, config.Deadline = 3, time.Hour, now.Add(5*time.Second)
	s := generation.New(config, rand.New(rand.NewPCG(1, 2)))
	forecast := generation.Forecast{FirstChunk: time.Second, ChunkGap: 100 * time.Millisecond, Chunks: 20}
	handle := func(ev generation.Event) []generation.Effect {
		s.Handle(now, forecast)
		return s.Handle(now, ev)
	}
	handle(generation.Admitted{})
	handle(generation.Placed{Attempt: 1, Upstream: "a"})
	handle(generation.Sent{Attempt: 1})
	now = now.Add(4200 * time.Millisecond)
	for i := range vaneyoke.Tokens(10) {
		handle(&generation.Received{Attempt: 1, Number: number(uint64(i + 1)), Batch: vaneyoke.Batch{First: i, IDs: []vaneyoke.TokenID{0}, Text: []byte("x")}})
	}
	effects := handle(generation.Ended{Attempt: 1, Reason: vaneyoke.FinishStop, Unconfirmed: true})
	must.False(t, s.Ended(), must.Sprintf("%#v", effects))
	handle(generation.Placed{Attempt: 2, Upstream: "a"})
	handle(generation.Sent{Attempt: 2})
	effects = handle(generation.Ended{Attempt: 2, Reason: vaneyoke.FinishStop, Unconfirmed: true})
	must.True(t, s.Ended())
	must.Eq(t, []generation.Effect{generation.Finish{Reason: vaneyoke.FinishStop, Usage: s.Transcript().Usage()}}, effects)
}
