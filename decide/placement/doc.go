// Package placement decides, without I/O, which upstream runs each attempt of a request and which one keeps a replica of the run.
package placement
