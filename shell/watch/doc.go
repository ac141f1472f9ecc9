// Package watch keeps a copy of a table in the store up to date, through outages and the loss of its change history.
package watch
