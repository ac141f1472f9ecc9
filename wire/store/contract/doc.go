// Package contract holds the tests that every implementation of package store must pass.
package contract
