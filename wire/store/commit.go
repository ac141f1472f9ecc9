package store

import (
	"context"

	"github.com/vaneyoke/vaneyoke"
)

// maxCommitAttempts limits how often a transaction is sent to learn whether it took effect.
const maxCommitAttempts = 4

// CommitWithRetry commits a transaction. If the reply is lost, it sends the transaction again with the same nonce until the
// outcome is known. An error with CodeStoreUnknown means that the outcome is still unknown.
func CommitWithRetry(ctx context.Context, table Table, tx Tx) error {
	var err error
	for range maxCommitAttempts {
		err = table.Commit(ctx, tx)
		if vaneyoke.CodeOf(err) != vaneyoke.CodeStoreUnknown {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// ScanAll returns every row of a partition.
func ScanAll(ctx context.Context, table Table, partition string) ([]Row, error) {
	const pageRows = 500
	var rows []Row
	after := ""
	for {
		page, err := table.Scan(ctx, partition, after, pageRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if page.Next == "" {
			return rows, nil
		}
		after = page.Next
	}
}
