// Package forward defines opaque requests, the responses to them and the interface that sends them to upstreams.
package forward
