// Package usage counts the requests that upstreams begin, by workspace and window of the wall clock. Each window has exactly one set of counts in the
// store, whichever node reports it.
package usage
