package claims

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/claim"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// worker carries out the effects of one claim.
type worker struct {
	claims *Claims
	key    store.Key
	state  *claim.State
	run    func(context.Context) Outcome
}

// work drives the claim until the caller can be told something; the answer is kept in the background.
func (w *worker) work(ctx context.Context) claim.Reply {
	effects := w.state.Handle(time.Now(), claim.RequestReceived{})
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch e := effect.(type) {
		case claim.Write:
			effects = append(effects, w.state.Handle(time.Now(), w.write(ctx, e))...)
		case claim.Run:
			if w.run == nil {
				return claim.Reply{Code: vaneyoke.CodeOK, Answer: &claim.Answer{}}
			}
			effects = append(effects, w.state.Handle(time.Now(), w.outcome(ctx))...)
		case claim.Settle:
			w.claims.enqueue(settling{key: w.key, record: e.Record})
		case claim.Reply:
			w.claims.saving.Add(1)
			go w.rest(effects)
			return e
		}
	}
	return claim.Reply{Code: vaneyoke.CodeInternal}
}

// rest carries out what the caller need not wait for.
func (w *worker) rest(effects []claim.Effect) {
	defer w.claims.saving.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), w.claims.config.SaveTimeout)
	defer cancel()
	for _, effect := range effects {
		switch e := effect.(type) {
		case claim.Write:
			w.state.Handle(time.Now(), w.write(ctx, e))
		case claim.Settle:
			w.claims.enqueue(settling{key: w.key, record: e.Record})
		case claim.Run, claim.Reply:
		}
	}
}

// write stores a record and returns what became of it.
func (w *worker) write(ctx context.Context, e claim.Write) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, w.claims.config.StoreTimeout)
	defer cancel()
	err := w.claims.put(ctx, w.key, e.Record, e.Expect)
	switch vaneyoke.CodeOf(err) {
	case vaneyoke.CodeOK:
		return claim.Stored{}
	case vaneyoke.CodeStoreRace:
		return w.raced(ctx)
	case vaneyoke.CodeStoreUnknown:
		return claim.StoreFailed{Unknown: true}
	default:
		return claim.StoreFailed{}
	}
}

func (w *worker) raced(ctx context.Context) claim.Event {
	existing, err := w.claims.read(ctx, w.key)
	if err != nil {
		return claim.StoreFailed{}
	}
	return claim.Conflict{Existing: existing}
}

func (w *worker) outcome(ctx context.Context) claim.Event {
	out := w.run(ctx)
	switch {
	case out.Answer != nil:
		return claim.Answered{Answer: *out.Answer}
	case out.MayHaveRun:
		return claim.MayHaveRun{}
	default:
		return claim.NotRun{Code: out.NotRun}
	}
}

// enqueue has a claim settled in the background; where too many wait, the row stays and is told as one that may have run.
func (c *Claims) enqueue(s settling) {
	select {
	case c.settle <- s:
	default:
		c.log.WithField("request", s.record.Request).Error("claim_not_settled")
	}
}
