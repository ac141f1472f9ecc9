// Package recovered turns a recovered panic into an error that says where it happened.
package recovered
