package route

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Kind determines how often a request of a route may run and the form of its answer.
type Kind int

// The kinds of request.
const (
	KindOnce       Kind = iota + 1 // runs at most once for each request
	KindRepeatable                 // may run more than once
	KindStream                     // is answered by a stream of numbered events
)

// String returns the kind as written to logs.
func (k Kind) String() string {
	switch k {
	case KindOnce:
		return "once"
	case KindRepeatable:
		return "repeatable"
	case KindStream:
		return "stream"
	default:
		return "unknown"
	}
}

// Target is a service to which a route sends requests, and its relative weight.
type Target struct {
	Service vaneyoke.ServiceID
	Weight  int
}

// Route defines the handling of requests whose path on a host begins with a prefix.
type Route struct {
	ID                vaneyoke.RouteID
	Host              string
	Prefix            string // begins and ends with a slash
	Kind              Kind
	Resumable         bool          // whether another upstream can resume a stream
	Timeout           time.Duration // maximum duration of a request; 0 for no limit
	LatencyGoal       time.Duration // target time to the answer, or to the first event of a stream
	EventIntervalGoal time.Duration // target interval between the events of a stream
	Priority          int           // 0 is the most urgent
	MaxAttempts       int           // maximum number of upstreams to which a request is sent; 0 means 1
	Public            bool          // whether requests are accepted without a key
	Targets           []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// ServiceAt returns the service at a point in [0, 1) of the targets' cumulative weights; a random point gives a weighted choice.
func (r *Route) ServiceAt(point float64) vaneyoke.ServiceID {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := int(point * float64(total))
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Service describes the capabilities of a service's upstreams.
type Service struct {
	ID             vaneyoke.ServiceID
	MaxConnections int    // connections that an upstream accepts from all nodes together; 0 if unknown
	Replicas       bool   // whether an upstream can hold a replica of another's run
	HealthPath     string // path at which an upstream reports its identity; "" if it does not
}

// Workspace is a customer and its API keys.
type Workspace struct {
	ID       vaneyoke.WorkspaceID
	Keys     []string
	Priority *int // takes precedence over the route's; nil for none
}

// Limits holds the limits on callers' requests.
type Limits struct {
	BodyBytes     int64         // maximum size of a body; 0 for no limit
	HeaderBytes   int           // maximum size of a request's header; 0 if not set
	HeaderTimeout time.Duration // how long a request's header may take to arrive; 0 if not set
	IdleTimeout   time.Duration // how long a connection may rest before its next request; 0 if not set
}
