// Package client is an HTTP client of a node's caller API: it sends generations and service calls, and reads streamed answers.
package client
