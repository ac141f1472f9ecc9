// Package intake accounts for the connections of a listener and for the headers of requests that arrive on them, and decides without I/O which of them are
// closed while they need more memory or descriptors than there are. It is connection admission with eviction: what costs its peer least goes first, as in
// SYN caches, and a connection whose request is being handled is never evicted.
package intake
