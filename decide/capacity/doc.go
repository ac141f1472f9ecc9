// Package capacity decides how many upstreams of a service to run in each data centre. It considers the load of those that run, the boot time
// and the prices of new ones, and which of them are preemptible.
package capacity
