// Package memory implements package store in memory, for tests and stand-ins.
package memory
