// Package pushbacks records the pushbacks and shutdown notices that upstreams send to one node, and counts what it still sends to them.
package pushbacks
