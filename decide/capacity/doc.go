// Package capacity decides how many upstreams of a service each data centre is to have: from what requests took of those that run, the time that
// new ones need, their prices, and which of them may be taken away.
package capacity
