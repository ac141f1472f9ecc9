// Package rollout decides, without I/O, how a service's requests move to the upstreams of another version, and whether the
// new version is kept or the rollout is reverted.
package rollout
