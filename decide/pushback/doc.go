// Package pushback decides, without I/O, how long a node sends no requests to an upstream that asked for this in a response: for the requested
// time (server pushback), or because the upstream is shutting down (connection draining). A circuit breaker is closed by trials and by other
// nodes' successes; a hold ends only when its time is over. It applies to the node that received the response and to one incarnation of the
// upstream.
package pushback
