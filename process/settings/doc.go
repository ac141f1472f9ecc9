// Package settings reads and validates a node's INI file.
package settings
