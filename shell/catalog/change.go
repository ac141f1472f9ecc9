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

// applyTries bounds how often a change is tried again because another one took its revision.
const applyTries = 30

// Change is one write to the configuration, guarded by the version that its author saw.
type Change struct {
	Partition       string
	ID              string
	Value           any           // nil deletes the row
	ExpectedVersion store.Version // 0 for a row that must not exist
}

// AuditInfo says who made a change and why it is made; it goes into the audit trail.
type AuditInfo struct {
	Actor          string
	Action         string
	IdempotencyKey string // the author's own key for the change, "" for none
}

// AuditEntry is one accepted change in the audit trail.
type AuditEntry struct {
	Revision vaneyoke.Revision `json:"revision"`
	Actor    string            `json:"actor"`
	Action   string            `json:"action"`
	At       time.Time         `json:"at"`
}

// Apply commits changes together with the next revision, and returns that revision.
// A row that is not as its author saw it is told with CodeConflict, and a change whose outcome is not known with CodeStoreUnknown.
func Apply(ctx context.Context, table store.Table, changes ...Change) (vaneyoke.Revision, error) {
	return ApplyAudited(ctx, table, time.Now(), AuditInfo{}, changes...)
}

// ApplyAudited is Apply with an entry in the audit trail; a change with the same key of its author is made once.
func ApplyAudited(ctx context.Context, table store.Table, now time.Time, note AuditInfo, changes ...Change) (vaneyoke.Revision, error) {
	for range applyTries {
		revision, err := applyOnce(ctx, table, now, note, changes)
		if vaneyoke.CodeOf(err) != vaneyoke.CodeStoreRace {
			return revision, err
		}
		if done, ok, err := made(ctx, table, note); ok || err != nil {
			return done, err
		}
		if err := unchanged(ctx, table, changes); err != nil {
			return 0, err
		}
	}
	return 0, vaneyoke.Err(vaneyoke.CodeStoreRace, "too many changes at once")
}

func applyOnce(ctx context.Context, table store.Table, now time.Time, note AuditInfo, changes []Change) (vaneyoke.Revision, error) {
	revision, err := ReadRevision(ctx, table)
	if err != nil {
		return 0, err
	}
	next := revision + 1
	tx := store.Tx{Nonce: store.Nonce(uuid.NewString())}
	cond := store.Condition{Version: store.Version(revision)}
	tx.Writes = append(tx.Writes, store.Put{Key: RevisionKey, Value: []byte("{}"), If: cond})
	for _, c := range slices.Concat(changes, note.changes(now, next), []Change{trace(changes, next)}) {
		write, err := c.write()
		if err != nil {
			return 0, err
		}
		tx.Writes = append(tx.Writes, write)
	}
	return next, store.CommitSettled(ctx, table, tx)
}

// touched is the row that tells which rows a revision changed, so that nodes need not read all of them.
type touched struct {
	Keys []store.Key `json:"keys"`
}

func trace(changes []Change, revision vaneyoke.Revision) Change {
	keys := lo.Map(changes, func(c Change, _ int) store.Key { return store.Key{Partition: c.Partition, ID: c.ID} })
	return Change{Partition: PartitionChanges, ID: auditID(revision), Value: touched{Keys: keys}}
}

// changes returns the rows that a note adds to a transaction.
func (n AuditInfo) changes(now time.Time, revision vaneyoke.Revision) []Change {
	if n.Actor == "" {
		return nil
	}
	entry := AuditEntry{Revision: revision, Actor: n.Actor, Action: n.Action, At: now}
	list := []Change{{Partition: PartitionAudit, ID: auditID(revision), Value: entry}}
	if n.IdempotencyKey != "" {
		list = append(list, Change{Partition: PartitionIdempotencyKeys, ID: n.onceID(), Value: entry})
	}
	return list
}

// auditID orders the entries of the audit trail by revision.
func auditID(revision vaneyoke.Revision) string { return fmt.Sprintf("%020d", revision) }

func (n AuditInfo) onceID() string { return n.Actor + "/" + n.IdempotencyKey }

// made returns the revision of a change that was made before under the same key.
func made(ctx context.Context, table store.Table, note AuditInfo) (vaneyoke.Revision, bool, error) {
	if note.IdempotencyKey == "" {
		return 0, false, nil
	}
	row, err := table.Get(ctx, store.Key{Partition: PartitionIdempotencyKeys, ID: note.onceID()})
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
	if entry.Action != note.Action {
		return 0, false, vaneyoke.Err(vaneyoke.CodeConflict, "the key was used for another change: %s", entry.Action)
	}
	return entry.Revision, true, nil
}

// unchanged returns an error where a row is not as its author saw it.
func unchanged(ctx context.Context, table store.Table, changes []Change) error {
	for _, c := range changes {
		row, err := table.Get(ctx, store.Key{Partition: c.Partition, ID: c.ID})
		if err != nil && vaneyoke.CodeOf(err) != vaneyoke.CodeNotFound {
			return err
		}
		if row.Version != c.ExpectedVersion {
			return vaneyoke.Err(vaneyoke.CodeConflict, "%s %s has version %d and not %d%s", c.Partition, c.ID, row.Version, c.ExpectedVersion, winner(row))
		}
	}
	return nil
}

// winner names who changed a row that tells so.
func winner(row store.Row) string {
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
