// Package share adds up, without I/O, what the nodes of a fleet are asked for and admit, by service, urgency and workspace, and tells which
// workspaces have more than their max-min fair share of it.
//
// It is an aggregation tree with soft state, as of TAG or Astrolabe, along the tree by which the store's tables are replicated: sums travel up
// to the root and totals down again, so that a node's load does not grow with the fleet. Distinct workspaces are counted by linear counting.
package share
