// Package vaneyoke holds the types that every other package speaks: ids, upstreams, requests, token batches and result codes.
package vaneyoke
