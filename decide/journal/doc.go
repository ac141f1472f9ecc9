// Package journal stores copies of other nodes' sessions, without I/O, so that another node can resume a session after its owner has failed.
package journal
