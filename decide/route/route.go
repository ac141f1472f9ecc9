package route

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Kind says how often a request of a route may run and what its answer looks like.
type Kind int

// The kinds of request.
const (
	KindOnce       Kind = iota + 1 // runs at most once for each request
	KindRepeatable                 // may run more than once
	KindStream                     // is answered by numbered events
)

// String returns the kind as it stands in logs.
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

// Target is a service that a route leads to, and its weight among the others.
type Target struct {
	Service vaneyoke.ServiceID
	Weight  int
}

// Route says what becomes of the requests for the paths under a prefix of a host.
type Route struct {
	ID          vaneyoke.RouteID
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // whether another upstream can go on with a stream
	Timeout     time.Duration // longest time that a request may be held; 0 for no bound
	LatencyGoal        time.Duration // time to the answer, or to a stream's first event, that is aimed at
	EventIntervalGoal       time.Duration // pause between a stream's events that is aimed at
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // upstreams that a request may be sent to; 0 stands for 1
	Public      bool          // whether a request needs no key
	Targets     []Target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// ServiceAt returns the target at a point, from 0 up to but not including 1, of the targets' weights.
func (r *Route) ServiceAt(point float64) vaneyoke.ServiceID {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := int(point * float64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Service says what a service's upstreams can do.
type Service struct {
	ID          vaneyoke.ServiceID
	MaxConnections int    // connections that an upstream takes from all nodes together; 0 where unknown
	Replicas    bool   // whether an upstream can keep a copy of another's run
	HealthPath      string // path on which an upstream tells who it is; "" where it does not
}

// Workspace is a customer and the keys that speak for it.
type Workspace struct {
	ID       vaneyoke.WorkspaceID
	Keys     []string
	Priority *int // goes before the route's; nil where there is none
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes int64 // 0 for no bound
}
