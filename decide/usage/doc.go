// Package usage decides how the requests that upstreams began are counted by workspace and window of the wall clock, so that each window has exactly one
// set of counts, whoever sends it.
package usage
