// Package duties runs the tasks that one node at a time performs for the whole fleet: it holds their leases, collects the nodes' usage counts, reports them to the platform, and orders upstreams.
package duties
