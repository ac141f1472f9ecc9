// Package mesh lets a few nodes of each hall read the store and tell the others what its tables hold.
package mesh
