// Package vaneyoke defines the types that all other packages share: ids, upstreams, requests, token batches and result codes.
package vaneyoke
