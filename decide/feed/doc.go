// Package feed decides, without I/O, which node this one takes the store's tables from, when it reads the store itself, and
// which nodes it offers its tables to.
package feed
