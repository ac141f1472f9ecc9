package pinning

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// RouteName identifies a route of streams over several configurations.
type RouteName string

// streamRoute is a route of streams with the services that it led to of late.
type streamRoute struct {
	targets []vaneyoke.ServiceID             // to which it leads; none if the configuration lacks it
	left    map[vaneyoke.ServiceID]time.Time // to which it does not lead any more, and since when
}

// SetRoutes replaces the services to which each route of streams leads.
func (r *VersionRegistry) SetRoutes(now time.Time, routes map[RouteName][]vaneyoke.ServiceID) {
	clear(r.services)
	for name := range routes {
		if r.routes[name] == nil {
			r.routes[name] = &streamRoute{left: map[vaneyoke.ServiceID]time.Time{}}
		}
	}
	for name, known := range r.routes {
		for _, service := range known.targets {
			known.left[service] = now
		}
		known.targets = routes[name]
		for _, service := range known.targets {
			delete(known.left, service)
			r.services[service] = true
		}
	}
	r.areRoutesKnown = true
}

// ForgetRoutes drops the services that routes have not led to for a while, unless the store's record still has their versions.
func (r *VersionRegistry) ForgetRoutes(now time.Time, retention time.Duration) {
	for _, route := range r.routes {
		maps.DeleteFunc(route.left, func(service vaneyoke.ServiceID, since time.Time) bool {
			return now.Sub(since) >= retention && (r.services[service] || !r.rows[service].hasBegunStreams())
		})
	}
	maps.DeleteFunc(r.routes, func(_ RouteName, route *streamRoute) bool { return len(route.targets)+len(route.left) == 0 })
}

// Former returns the services that may have begun streams of a route which leads to the given ones and no others, sorted.
func (r *VersionRegistry) Former(services []vaneyoke.ServiceID) []vaneyoke.ServiceID {
	former := map[vaneyoke.ServiceID]bool{}
	for _, route := range r.routes {
		if slices.ContainsFunc(services, func(s vaneyoke.ServiceID) bool { return slices.Contains(route.targets, s) }) {
			for service := range route.left {
				former[service] = true
			}
		}
	}
	for _, service := range r.abandoned() {
		former[service] = true
	}
	maps.DeleteFunc(former, func(service vaneyoke.ServiceID, _ bool) bool { return slices.Contains(services, service) })
	return slices.Sorted(maps.Keys(former))
}

// abandoned returns the services that began streams by the store's record, to which no route leads, and of which this node does not know what route did.
func (r *VersionRegistry) abandoned() (services []vaneyoke.ServiceID) {
	if !r.areRoutesKnown {
		return nil
	}
	for service, row := range r.rows {
		if r.services[service] || !row.hasBegunStreams() {
			continue
		}
		if !r.isLeft(service) {
			services = append(services, service)
		}
	}
	return services
}

// isLeft reports whether a route is known that led to a service.
func (r *VersionRegistry) isLeft(service vaneyoke.ServiceID) bool {
	for _, route := range r.routes {
		if _, ok := route.left[service]; ok {
			return true
		}
	}
	return false
}

// addMoved adds the services whose streams callers may take up by a route that leads to others now, and these others.
func (r *VersionRegistry) addMoved(mixed map[vaneyoke.ServiceID]bool) {
	for _, route := range r.routes {
		if len(route.left) > 0 && len(route.targets) > 0 {
			for _, service := range append(slices.Collect(maps.Keys(route.left)), route.targets...) {
				mixed[service] = true
			}
		}
	}
	if abandoned := r.abandoned(); len(abandoned) > 0 {
		for _, service := range append(abandoned, slices.Collect(maps.Keys(r.services))...) {
			mixed[service] = true
		}
	}
}
