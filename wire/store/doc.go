// Package store defines the storage interfaces of the nodes: a transactional table, an object store and the list of VMs.
package store
