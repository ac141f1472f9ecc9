// Package generation implements the state machine of one answer: which tokens of which attempts form it, and how it recovers when an
// attempt is lost. It does no I/O: Handle takes an Event and returns the Effects that its caller carries out.
package generation
