// Package ratelimits carries out the decisions on the rate limits that upstreams declare, and counts what a node sends to them.
package ratelimits
