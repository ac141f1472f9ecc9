// Package pinning decides which software version an answer that has begun goes on at. The version that began a stream is kept as replicated soft state:
// the node that serves it sends a record to a few other nodes, chosen by rendezvous hashing over the data centres, and a node whose caller comes back
// for the rest asks these. State handles events and returns effects; it does no I/O and has no clock of its own.
package pinning
