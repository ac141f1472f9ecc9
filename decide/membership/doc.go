// Package membership determines which nodes there are, which of them know a session's owner and which stores its journal, without I/O.
package membership
