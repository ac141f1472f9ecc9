// Package load is an open-loop load generator: it sends requests to a fleet at a given rate, injects faults at given times, checks every answer, and measures the latencies that callers see.
package load
