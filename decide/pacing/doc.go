// Package pacing decides, without I/O, when callers that were rejected should retry, and tells those that did as they were told from those
// that came back early.
package pacing
