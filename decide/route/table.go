package route

import (
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Table is an immutable version of the configuration.
type Table struct {
	version     vaneyoke.Revision
	limits      Limits
	byHost      map[string][]Route
	services    map[vaneyoke.ServiceID]Service
	workspaces  map[string]Workspace // by key
	requiresKey bool                 // false if there are no workspaces; requests then need no key
}

// NewTable returns the table of the given routes, services, workspaces and limits.
func NewTable(version vaneyoke.Revision, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Table {
	t := &Table{
		version:     version,
		limits:      limits,
		byHost:      map[string][]Route{},
		services:    map[vaneyoke.ServiceID]Service{},
		workspaces:  map[string]Workspace{},
		requiresKey: len(workspaces) > 0,
	}
	for _, r := range routes {
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, s := range services {
		t.services[s.ID] = s
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// Version returns the revision of the configuration; a later one is higher.
func (t *Table) Version() vaneyoke.Revision { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Find returns the route of a host with the longest prefix of the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	var found *Route
	routes := t.byHost[canonicalHost(host)]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found, found != nil
}

// canonicalHost returns a host name in lower case without its port.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns the description of a service; for an unknown one, only the id is set.
func (t *Table) Service(id vaneyoke.ServiceID) Service {
	if s, ok := t.services[id]; ok {
		return s
	}
	return Service{ID: id}
}

// StreamServices returns the services to which routes of streams lead, and for each whether those routes differ in priority.
func (t *Table) StreamServices() map[vaneyoke.ServiceID]bool {
	mixed, priorities := map[vaneyoke.ServiceID]bool{}, map[vaneyoke.ServiceID]int{}
	for _, routes := range t.byHost {
		for _, r := range routes {
			if r.Kind != KindStream {
				continue
			}
			for _, target := range r.Targets {
				priority, seen := priorities[target.Service]
				priorities[target.Service] = r.Priority
				mixed[target.Service] = mixed[target.Service] || (seen && priority != r.Priority)
			}
		}
	}
	return mixed
}

// StreamTargets returns the services to which each route of streams leads, by host and prefix.
func (t *Table) StreamTargets() map[string][]vaneyoke.ServiceID {
	targets := map[string][]vaneyoke.ServiceID{}
	for host, routes := range t.byHost {
		for _, r := range routes {
			if r.Kind != KindStream {
				continue
			}
			name := host + r.Prefix
			for _, target := range r.Targets {
				targets[name] = append(targets[name], target.Service)
			}
		}
	}
	return targets
}

// LongestStream returns the longest time that the routes of streams allow for an answer; those that state none allow the default.
func (t *Table) LongestStream(defaultTimeout time.Duration) (longest time.Duration) {
	for _, routes := range t.byHost {
		for _, r := range routes {
			switch {
			case r.Kind != KindStream:
			case r.Timeout > 0:
				longest = max(longest, r.Timeout)
			default:
				longest = max(longest, defaultTimeout)
			}
		}
	}
	return longest
}

// Workspace returns the workspace to which a request on a route is accounted.
// An error carries CodeNoKey or CodeUnknownKey; a public route accepts any key, and requests without one.
func (t *Table) Workspace(r *Route, key string) (Workspace, error) {
	if w, ok := t.workspaces[key]; ok {
		return w, nil
	}
	switch {
	case r.Public || !t.requiresKey:
		return Workspace{}, nil
	case key == "":
		return Workspace{}, vaneyoke.Err(vaneyoke.CodeNoKey, "the request carries no key")
	default:
		return Workspace{}, vaneyoke.Err(vaneyoke.CodeUnknownKey, "the key is unknown or revoked")
	}
}
