package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// maxApplyAttempts bounds how often a change is attempted while others take its revision.
const maxApplyAttempts = 30

// Change is one write to the configuration, conditional on the row's version.
type Change struct {
	Partition       string
	ID              string
	Value           any           // nil deletes the row
	ExpectedVersion store.Version // that the author saw; 0 if the row must not exist
}

// AuditInfo describes who makes a change and what it does, for the audit trail.
type AuditInfo struct {
	Actor          string
	Action         string
	IdempotencyKey string // chosen by the actor; "" for none
}

// AuditEntry is one accepted change in the audit trail.
type AuditEntry struct {
	Revision vaneyoke.Revision `json:"revision"`
	Actor    string            `json:"actor"`
	Action   string            `json:"action"`
	At       time.Time         `json:"at"`
}

// Apply commits changes together with the next revision, and returns that revision.
// It returns CodeConflict if a row does not have the expected version, and CodeStoreUnknown if the outcome is unknown.
func Apply(ctx context.Context, table store.Table, changes ...Change) (vaneyoke.Revision, error) {
	return ApplyAudited(ctx, table, time.Now(), AuditInfo{}, changes...)
}

// ApplyAudited is Apply with an entry in the audit trail; a change with the same idempotency key of its actor is made only once.
func ApplyAudited(ctx context.Context, table store.Table, now time.Time, audit AuditInfo, changes ...Change) (vaneyoke.Revision, error) {
	for range maxApplyAttempts {
		revision, err := applyOnce(ctx, table, now, audit, changes)
		if vaneyoke.CodeOf(err) != vaneyoke.CodeStoreRace {
			return revision, err
		}
		if done, ok, err := findApplied(ctx, table, audit); ok || err != nil {
			return done, err
		}
		if err := checkVersions(ctx, table, changes); err != nil {
			return 0, err
		}
	}
	return 0, vaneyoke.Err(vaneyoke.CodeStoreRace, "too many changes at once")
}

func applyOnce(ctx context.Context, table store.Table, now time.Time, audit AuditInfo, changes []Change) (vaneyoke.Revision, error) {
	revision, err := ReadRevision(ctx, table)
	if err != nil {
		return 0, err
	}
	next := revision + 1
	tx := store.Tx{Nonce: store.Nonce(uuid.NewString())}
	cond := store.Condition{Version: store.Version(revision)}
	tx.Writes = append(tx.Writes, store.Put{Key: RevisionKey, Value: []byte("{}"), If: cond})
	for _, c := range slices.Concat(changes, audit.rows(now, next), []Change{changeLogRow(changes, next)}) {
		write, err := c.write()
		if err != nil {
			return 0, err
		}
		tx.Writes = append(tx.Writes, write)
	}
	return next, store.CommitWithRetry(ctx, table, tx)
}

// changeLogEntry lists the rows that a revision changed, so that nodes need not read all rows.
type changeLogEntry struct {
	Keys []store.Key `json:"keys"`
}

func changeLogRow(changes []Change, revision vaneyoke.Revision) Change {
	keys := lo.Map(changes, func(c Change, _ int) store.Key { return store.Key{Partition: c.Partition, ID: c.ID} })
	return Change{Partition: PartitionChanges, ID: revisionID(revision), Value: changeLogEntry{Keys: keys}}
}

// rows returns the rows that the audit trail adds to a transaction.
func (a AuditInfo) rows(now time.Time, revision vaneyoke.Revision) []Change {
	if a.Actor == "" {
		return nil
	}
	entry := AuditEntry{Revision: revision, Actor: a.Actor, Action: a.Action, At: now}
	list := []Change{{Partition: PartitionAudit, ID: revisionID(revision), Value: entry}}
	if a.IdempotencyKey != "" {
		list = append(list, Change{Partition: PartitionIdempotencyKeys, ID: a.idempotencyKeyID(), Value: entry})
	}
	return list
}

// revisionID returns a revision as a row id that sorts in numeric order.
func revisionID(revision vaneyoke.Revision) string { return fmt.Sprintf("%020d", revision) }

func (a AuditInfo) idempotencyKeyID() string { return a.Actor + "/" + a.IdempotencyKey }

// findApplied returns the revision of an earlier change with the same idempotency key.
func findApplied(ctx context.Context, table store.Table, audit AuditInfo) (vaneyoke.Revision, bool, error) {
	if audit.IdempotencyKey == "" {
		return 0, false, nil
	}
	row, err := table.Get(ctx, store.Key{Partition: PartitionIdempotencyKeys, ID: audit.idempotencyKeyID()})
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var entry AuditEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return 0, false, vaneyoke.WrapErr(vaneyoke.CodeInternal, err, "operator key")
	}
	if entry.Action != audit.Action {
		return 0, false, vaneyoke.Err(vaneyoke.CodeConflict, "the key was used for another change: %s", entry.Action)
	}
	return entry.Revision, true, nil
}

// checkVersions returns an error if a row does not have the expected version.
func checkVersions(ctx context.Context, table store.Table, changes []Change) error {
	for _, c := range changes {
		row, err := table.Get(ctx, store.Key{Partition: c.Partition, ID: c.ID})
		if err != nil && vaneyoke.CodeOf(err) != vaneyoke.CodeNotFound {
			return err
		}
		if row.Version != c.ExpectedVersion {
			return vaneyoke.Err(vaneyoke.CodeConflict, "%s %s has version %d and not %d%s", c.Partition, c.ID, row.Version, c.ExpectedVersion, lastAuthor(row))
		}
	}
	return nil
}

// lastAuthor returns an addition to an error message that names who last changed a row, "" if the row does not say.
func lastAuthor(row store.Row) string {
	var author struct {
		By string `json:"by"`
	}
	if json.Unmarshal(row.Value, &author) != nil || author.By == "" {
		return ""
	}
	return "; it was changed by " + author.By
}

func (c Change) write() (store.Write, error) {
	key := store.Key{Partition: c.Partition, ID: c.ID}
	cond := store.Condition{Version: c.ExpectedVersion}
	if c.Value == nil {
		return store.Delete{Key: key, If: cond}, nil
	}
	value, err := json.Marshal(c.Value)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeBadRequest, err, "%s %s", c.Partition, c.ID)
	}
	return store.Put{Key: key, Value: value, If: cond}, nil
}
