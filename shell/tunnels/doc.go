// Package tunnels connects this node to upstreams, and records which of them it reaches.
package tunnels
