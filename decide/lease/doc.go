// Package lease elects the node that performs a duty, with a lease and a fencing token. The lease runs from when the last successful renewal was sent,
// not from when its answer came, and each new holder has a higher fencing token than the one before.
package lease
