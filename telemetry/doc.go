// Package telemetry sets up logs, traces and metrics.
package telemetry
