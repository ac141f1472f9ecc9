// Package peer is the API between the nodes of a fleet: it replicates journals, hands over sessions and confirms revisions.
package peer
