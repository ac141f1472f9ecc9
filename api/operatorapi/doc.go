// Package operatorapi is the HTTP API with which operators administer a fleet.
package operatorapi
