// Package overlay decides, without I/O, over which path a node connects to an upstream: its own, or one through another node where its own is lost.
// It combines the one-hop detours of resilient overlay networks (RON) with the indirect probes of SWIM, and damps flapping paths.
package overlay
