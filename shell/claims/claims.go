package claims

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/claim"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// Partition is the partition of the table that holds all claims.
const Partition = "claim"

// Config holds the timeouts of claims.
type Config struct {
	StoreTimeout   time.Duration // for a claim to be written or revoked
	SaveTimeout    time.Duration // for an answer to be stored
	SettleInterval time.Duration // between attempts to settle a claim whose write has an unknown outcome
}

// Claims runs requests at most once.
type Claims struct {
	self         vaneyoke.NodeID
	config       Config
	table        store.Table
	batch        *Batcher
	log          logrus.FieldLogger
	unsettled    chan unsettledClaim
	pendingSaves atomic.Int64 // answers that are being stored
}

// unsettledClaim is a claim whose write has an unknown outcome; it has to be revoked if it was stored.
type unsettledClaim struct {
	key    store.Key
	record claim.Record
}

const settleQueueLength = 4096

// New returns the Claims of the given node. Writes are sent and claims are settled while Run is running.
func New(self vaneyoke.NodeID, config Config, table store.Table, batch *Batcher, log logrus.FieldLogger) *Claims {
	return &Claims{self: self, config: config, table: table, batch: batch, log: log, unsettled: make(chan unsettledClaim, settleQueueLength)}
}

// Request is a request that must run at most once.
type Request struct {
	Workspace  vaneyoke.WorkspaceID
	Key        string // the caller's idempotency key
	ID         vaneyoke.RequestID
	BodyDigest string
}

// Outcome is the result of running a request. Exactly one of its fields is set.
type Outcome struct {
	Answer     *claim.Answer
	NotRun     vaneyoke.Code // the reason why the request did not run
	MayHaveRun bool          // the request may have run, but there is no answer
}

// RunAtMostOnce claims a request, calls run at most once in the whole fleet, and returns the answer.
// The code of its error tells reliably whether the request may have run.
func (c *Claims) RunAtMostOnce(ctx context.Context, req Request, run func(context.Context) Outcome) (claim.Answer, error) {
	reply := c.newWorker(req, run).execute(ctx)
	if reply.Code == vaneyoke.CodeOK {
		return *reply.Answer, nil
	}
	return claim.Answer{}, vaneyoke.ErrRetryAfter(reply.Code, reply.RetryAfter, "%s", reply.Code.Info().Text)
}

// Acquire claims a request permanently. Only if it returns nil may the request run, and only its caller may run it.
func (c *Claims) Acquire(ctx context.Context, req Request) error {
	_, err := c.RunAtMostOnce(ctx, req, nil)
	return err
}

func (c *Claims) newWorker(req Request, run func(context.Context) Outcome) *worker {
	return &worker{
		claims: c,
		key:    store.Key{Partition: Partition, ID: string(req.Workspace) + "/" + req.Key},
		state:  claim.New(claim.Record{Owner: c.self, Request: req.ID, BodyDigest: req.BodyDigest}),
		run:    run,
	}
}

// PendingSaves returns the number of answers that were returned to their callers and are still being stored.
func (c *Claims) PendingSaves() int { return int(c.pendingSaves.Load()) }

// Run sends batched writes and settles claims until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	go c.batch.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.unsettled:
			c.settleOne(ctx, s)
		}
	}
}

// settleOne retries until a claim of this node that was never run is revoked or ctx ends.
func (c *Claims) settleOne(ctx context.Context, s unsettledClaim) {
	for ctx.Err() == nil {
		if err := c.revoke(ctx, s); err == nil {
			return
		}
		pause.For(ctx, c.config.SettleInterval)
	}
}

// revoke revokes the claim if it was stored. It returns an error if the outcome is still unknown.
func (c *Claims) revoke(ctx context.Context, s unsettledClaim) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.StoreTimeout)
	defer cancel()
	existing, err := c.read(ctx, s.key)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound {
		// The write may still arrive late; a revoked row makes it fail.
		existing, err = claim.Versioned{Record: s.record}, nil
	}
	if err != nil || existing.Request != s.record.Request || existing.Stage != claim.StageClaimed {
		return err
	}
	s.record.Stage = claim.StageRevoked
	s.record.NotRun = vaneyoke.CodeStoreDown
	err = c.put(ctx, s.key, s.record, existing.Version)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeStoreRace {
		return vaneyoke.Err(vaneyoke.CodeStoreDown, "the row changed meanwhile")
	}
	return err
}

func (c *Claims) put(ctx context.Context, key store.Key, record claim.Record, expect claim.Version) error {
	value, err := json.Marshal(record)
	if err != nil {
		return vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "claim %s", key.ID)
	}
	return c.batch.Write(ctx, store.Put{Key: key, Value: value, If: store.IfVersion(store.Version(expect))})
}

func (c *Claims) read(ctx context.Context, key store.Key) (claim.Versioned, error) {
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return claim.Versioned{}, err
	}
	existing := claim.Versioned{Version: claim.Version(row.Version)}
	err = json.Unmarshal(row.Value, &existing.Record)
	return existing, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "claim %s", key.ID)
}
