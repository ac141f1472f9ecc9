// Package quarantines carries out the decisions on requests that crash upstreams: it broadcasts crashes to the other nodes and writes them to the
// store.
package quarantines
