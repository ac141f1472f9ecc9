// Package admission decides, without I/O, which waiting request a node sends next to a service, and which it rejects: weighted fair queueing
// among workspaces within strict urgency, with deadline-aware rejection.
package admission
