// Package mesh replicates the store's tables between nodes: a few nodes of each data centre read the store, and the others follow them.
package mesh
