// Package callerapi is the HTTP API for callers: the OpenAI API, calls to plain services and health probes.
package callerapi
