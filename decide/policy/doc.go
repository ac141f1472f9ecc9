// Package policy parses, checks and evaluates the policy programs by which operators control where requests run, without I/O.
package policy
