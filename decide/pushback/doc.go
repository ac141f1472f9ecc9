// Package pushback decides, without I/O, how long a node sends nothing to an upstream that told it so in an answer: for a while (server
// pushback), or because it is leaving (connection draining). Other than a circuit breaker, whose trials and other nodes' successes close it, a
// hold ends by the time that the upstream named. It binds the node that was told, and one life of the upstream.
package pushback
