package claims

import (
	"context"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/claim"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// worker executes the effects of one claim.
type worker struct {
	claims *Claims
	key    store.Key
	state  *claim.State
	run    func(context.Context) Outcome
}

// execute executes effects until there is a reply for the caller. The remaining effects, such as storing the answer, run in the background.
func (w *worker) execute(ctx context.Context) claim.Reply {
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
			effects = append(effects, w.state.Handle(time.Now(), w.runRequest(ctx))...)
		case claim.Settle:
			w.claims.enqueue(unsettledClaim{key: w.key, record: e.Record})
		case claim.Reply:
			w.claims.pendingSaves.Add(1)
			go w.finishInBackground(effects)
			return e
		}
	}
	return claim.Reply{Code: vaneyoke.CodeInternal}
}

// finishInBackground executes the effects that the caller does not wait for.
func (w *worker) finishInBackground(effects []claim.Effect) {
	defer w.claims.pendingSaves.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), w.claims.config.SaveTimeout)
	defer cancel()
	for _, effect := range effects {
		switch e := effect.(type) {
		case claim.Write:
			w.state.Handle(time.Now(), w.write(ctx, e))
		case claim.Settle:
			w.claims.enqueue(unsettledClaim{key: w.key, record: e.Record})
		case claim.Run, claim.Reply:
		}
	}
}

// write stores a record and returns the outcome as an event.
func (w *worker) write(ctx context.Context, e claim.Write) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, w.claims.config.StoreTimeout)
	defer cancel()
	err := w.claims.put(ctx, w.key, e.Record, e.Expect)
	switch vaneyoke.CodeOf(err) {
	case vaneyoke.CodeOK:
		return claim.Stored{}
	case vaneyoke.CodeStoreRace:
		return w.readConflict(ctx)
	case vaneyoke.CodeStoreUnknown:
		return claim.StoreFailed{Unknown: true}
	default:
		return claim.StoreFailed{}
	}
}

func (w *worker) readConflict(ctx context.Context) claim.Event {
	existing, err := w.claims.read(ctx, w.key)
	if err != nil {
		return claim.StoreFailed{}
	}
	return claim.Conflict{Existing: existing}
}

func (w *worker) runRequest(ctx context.Context) claim.Event {
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

// enqueue queues a claim to be settled in the background. If the queue is full, the row stays, and the request is reported as one that may
// have run.
func (c *Claims) enqueue(s unsettledClaim) {
	select {
	case c.unsettled <- s:
	default:
		c.log.WithField("request", s.record.Request).Error("claim_not_settled")
	}
}
