// Package share adds up, without I/O, what the nodes of a fleet are asked for and admit, by service, urgency and workspace: an aggregation tree
// whose sums travel up to the root and down again, so that a node's load does not grow with the fleet.
package share
