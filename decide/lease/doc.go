// Package lease decides which node holds a duty that one node does at a time, and when its holder may act. A holder proves its lease by the time at
// which its last renewal was sent, and every holder has a higher fencing token than the one before.
package lease
