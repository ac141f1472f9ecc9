// Package generation implements the state machine of one answer: which tokens of which attempts form it, and how it recovers when an
// attempt is lost. A run that is only silent is replaced in the way known as make before break: it goes on until another one has taken over, and for as long
// as none can be. It does no I/O: Handle takes an Event and returns the Effects that its caller carries out.
package generation
