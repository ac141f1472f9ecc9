// Package failover replicates the sessions of a node to backup nodes, so that a caller whose connection broke can resume the same answer
// at any node.
package failover
