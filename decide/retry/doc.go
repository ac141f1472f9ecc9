// Package retry implements retry budgets and circuit breakers. It does no I/O and has no clock of its own.
package retry
