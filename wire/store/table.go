package store

import "context"

// Key identifies a row; the rows of one partition can be scanned in the order of their ids.
type Key struct {
	Partition string
	ID        string
}

// Version is the number of writes of a row, starting at 1.
type Version uint64

// Nonce identifies a transaction, so that it takes effect once however often it is sent.
type Nonce string

// Row is a row as read.
type Row struct {
	Key     Key
	Version Version
	Nonce   Nonce // of the transaction that wrote the row
	Value   []byte
}

// Page is one page of a scan.
type Page struct {
	Rows []Row
	Next string // last id of this page, after which the scan continues; "" on the last page
}

// Table is a transactional table; its errors carry CodeStoreDown, CodeStoreRace, CodeStoreUnknown or CodeNotFound.
type Table interface {
	// Get returns the newest committed row.
	Get(ctx context.Context, key Key) (Row, error)
	// Scan returns up to limit rows of a partition whose ids come after the given one.
	Scan(ctx context.Context, partition, after string, limit int) (Page, error)
	// Commit applies all writes of a transaction or none. Sent again with the same nonce, it returns the first outcome.
	Commit(ctx context.Context, tx Tx) error
}

// Tx is a conditional transaction.
type Tx struct {
	Nonce  Nonce
	Writes []Write
}

// Write is one operation of a transaction: Put, Delete or Check.
type Write interface{ write() }

// Put writes a row; its new version is that of the condition plus one.
type Put struct {
	Key   Key
	Value []byte
	If    Condition
}

// Delete removes a row.
type Delete struct {
	Key Key
	If  Condition
}

// Check makes the transaction depend on a row that it does not write.
type Check struct {
	Key Key
	If  Condition
}

func (Put) write()    {}
func (Delete) write() {}
func (Check) write()  {}

// Condition is the version that a row must have; with version 0 the row must not exist.
type Condition struct{ Version Version }

// IfAbsent requires that the row does not exist.
func IfAbsent() Condition { return Condition{} }

// IfVersion requires that the row has the given version.
func IfVersion(v Version) Condition { return Condition{Version: v} }
