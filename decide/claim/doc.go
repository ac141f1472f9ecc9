// Package claim decides, without I/O, whether a request that may run at most once is sent to an upstream, and which reply its caller gets.
package claim
