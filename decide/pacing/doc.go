// Package pacing decides, without I/O, when callers that were rejected should retry, and tells those that did as they were told from those
// that came back early. It is a reservation calendar: each rejection books the prompt tokens of its retry at a later moment, at the rate at
// which the service drains, so that rejected callers do not come back as a retry storm.
package pacing
