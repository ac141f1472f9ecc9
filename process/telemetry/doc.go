// Package telemetry sets up logging and tracing, and lists all log events.
package telemetry
