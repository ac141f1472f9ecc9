// Package duties carries out what one node at a time does at the platform: it keeps the leases, has nodes hand on what they counted, reports it, and orders upstreams.
package duties
