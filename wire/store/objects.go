package store

import "context"

// Objects is the object store; its errors carry CodeStoreDown or CodeNotFound.
type Objects interface {
	// Put stores an object under a name and replaces an existing one.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object's data.
	Get(ctx context.Context, name string) ([]byte, error)
}
