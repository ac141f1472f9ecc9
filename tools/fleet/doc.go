// Package fleet runs nodes and stand-ins in one process, for the demo, for development and for tests.
package fleet
