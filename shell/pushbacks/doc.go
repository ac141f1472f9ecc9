// Package pushbacks follows what upstreams tell one node of staying away, and what it sends to them all the same.
package pushbacks
