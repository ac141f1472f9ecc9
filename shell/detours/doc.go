// Package detours connects this node to upstreams: over its own path, or through another node where its own is lost. It passes bytes on for other
// nodes in the same way, over its own paths only.
package detours
