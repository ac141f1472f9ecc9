// Package gateway serves callers' HTTP requests by forwarding them to upstreams without interpreting their bodies.
package gateway
