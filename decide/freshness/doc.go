// Package freshness decides, without I/O, whether a node's knowledge of the fleet's configuration is recent enough to take new
// work.
//
// A change is accepted once it is committed in the store and a majority of the nodes has it. A node is fresh for a limited time
// after it began a successful read of the store, or after it began calls to the other nodes that a majority, including itself,
// answered; what it learns from either it applies first. So a fresh node knows every change that was accepted longer ago than
// this time: a later read of the store shows it, and any two majorities share a node. While the store is down nothing can be
// accepted, and the nodes confirm one another. A restarted node has lost its state; it counts in no majority before the store
// or a majority of the others has confirmed it.
package freshness
