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

// Partition is the table's partition of all claims.
const Partition = "claim"

// Config holds the bounds of claims.
type Config struct {
	StoreTimeout   time.Duration // longest wait for a claim to stand
	SaveTimeout    time.Duration // longest wait for an answer to be kept
	SettleInterval time.Duration // pause between tries to settle a claim whose write has an unknown outcome
}

// Claims runs requests at most once.
type Claims struct {
	self   vaneyoke.NodeID
	config Config
	table  store.Table
	batch  *Batcher
	log    logrus.FieldLogger
	settle chan settling
	saving atomic.Int64 // answers that are being kept
}

// settling is a claim that has to be revoked if it stands.
type settling struct {
	key    store.Key
	record claim.Record
}

const settleQueue = 4096

// New returns claims of the given node; Run has to be called for them to be carried out.
func New(self vaneyoke.NodeID, config Config, table store.Table, batch *Batcher, log logrus.FieldLogger) *Claims {
	return &Claims{self: self, config: config, table: table, batch: batch, log: log, settle: make(chan settling, settleQueue)}
}

// Request is one request that may run at most once.
type Request struct {
	Workspace  vaneyoke.WorkspaceID
	Key        string // the caller's own key
	ID         vaneyoke.RequestID
	BodyDigest string
}

// Outcome is what running a request came to; exactly one of its members says something.
type Outcome struct {
	Answer     *claim.Answer
	NotRun     vaneyoke.Code // why the request was certainly not run
	MayHaveRun bool          // whether the request may have run without an answer
}

// Once claims a request, has run called at most once in the whole fleet, and returns the answer.
// Its errors say truly whether the request was run.
func (c *Claims) RunAtMostOnce(ctx context.Context, req Request, run func(context.Context) Outcome) (claim.Answer, error) {
	reply := c.newWorker(req, run).work(ctx)
	if reply.Code == vaneyoke.CodeOK {
		return *reply.Answer, nil
	}
	return claim.Answer{}, vaneyoke.ErrRetryAfter(reply.Code, reply.RetryAfter, "%s", reply.Code.Info().Text)
}

// Hold claims a request for good; only where it returns nil may the request be run, and only by its caller.
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

// Saving returns how many answers are being kept whose callers have them already.
func (c *Claims) PendingSaves() int { return int(c.saving.Load()) }

// Run sends what is batched and settles claims, until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	go c.batch.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.settle:
			c.settleOne(ctx, s)
		}
	}
}

// settleOne revokes a claim of this node that was never run, for as long as it takes.
func (c *Claims) settleOne(ctx context.Context, s settling) {
	for ctx.Err() == nil {
		if err := c.revoke(ctx, s); err == nil {
			return
		}
		pause.For(ctx, c.config.SettleInterval)
	}
}

// revoke revokes the claim if it stands, and returns an error while that is not known.
func (c *Claims) revoke(ctx context.Context, s settling) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.StoreTimeout)
	defer cancel()
	existing, err := c.read(ctx, s.key)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound {
		// The late write may still come: a revoked row keeps it out.
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
