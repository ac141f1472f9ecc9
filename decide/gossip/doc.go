// Package gossip decides, without I/O, which observations about upstreams a node reports to others, and which reports of others
// it acts on.
package gossip
