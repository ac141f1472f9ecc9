package pinning

import (
	"maps"
	"slices"

	"github.com/vaneyoke/vaneyoke"
)

// VersionRegistry combines the store's record of the versions that may have begun streams with the list of upstreams.
type VersionRegistry struct {
	rows     map[vaneyoke.ServiceID]ServiceVersions
	isKnown  bool // whether the store's rows are known
	listed   map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion
	services map[vaneyoke.ServiceID]bool // that have streams
	routes   map[RouteName]*streamRoute

	areRoutesKnown bool
}

// NewVersionRegistry returns a registry that knows nothing.
func NewVersionRegistry() *VersionRegistry {
	return &VersionRegistry{
		rows: map[vaneyoke.ServiceID]ServiceVersions{}, listed: map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion{}, services: map[vaneyoke.ServiceID]bool{},
		routes: map[RouteName]*streamRoute{},
	}
}

// SetRows replaces the store's records.
func (r *VersionRegistry) SetRows(rows []ServiceVersions) {
	r.isKnown = true
	clear(r.rows)
	for _, row := range rows {
		r.rows[row.Service] = row
	}
}

// SetUpstreams replaces the list of upstreams.
func (r *VersionRegistry) SetUpstreams(upstreams []vaneyoke.Upstream) {
	clear(r.listed)
	for i := range upstreams {
		u := &upstreams[i]
		if u.Kind == vaneyoke.KindService && !slices.Contains(r.listed[u.Service], u.Version) {
			r.listed[u.Service] = append(r.listed[u.Service], u.Version)
		}
	}
}

// Outdated returns the services whose record is to be written anew, or will be after a while, sorted.
func (r *VersionRegistry) Outdated() (services []vaneyoke.ServiceID) {
	if !r.isKnown {
		return nil
	}
	for service := range r.services {
		if len(r.listed[service]) > 0 && !r.rows[service].isCurrent(r.listed[service]) {
			services = append(services, service)
		}
	}
	for service, row := range r.rows {
		if r.areRoutesKnown && !r.services[service] && len(row.Versions) > 0 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Listed returns the versions of a service's upstreams that are listed, none if the service has no streams.
func (r *VersionRegistry) Listed(service vaneyoke.ServiceID) []vaneyoke.SoftwareVersion {
	if r.areRoutesKnown && !r.services[service] {
		return nil
	}
	return r.listed[service]
}

// Candidates returns the versions that may have begun streams of a service, sorted; isComplete is false if others may have, too. A service without a record has
// only begun to be served by builds that write one.
func (r *VersionRegistry) Candidates(service vaneyoke.ServiceID) (versions []vaneyoke.SoftwareVersion, isComplete bool) {
	row, ok := r.rows[service]
	if !ok {
		versions = slices.Sorted(slices.Values(r.listed[service]))
		return versions, r.isKnown && len(versions) > 0
	}
	for _, v := range row.Versions {
		if v.Stage != StageAnnounced {
			versions = append(versions, v.Version)
		}
	}
	if !row.hasListed(StageAdmitted, r.listed[service]) { // others begin streams where no admitted version can
		versions = append(versions, r.listed[service]...)
	}
	slices.Sort(versions)
	return slices.Compact(versions), row.Complete
}

// Retired returns the versions of services that began streams and are not listed any more.
func (r *VersionRegistry) Retired() map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion {
	return r.inStage(StageRetired)
}

// Announced returns the listed versions of services that are not to begin streams yet.
func (r *VersionRegistry) Announced() map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion {
	announced := r.inStage(StageAnnounced)
	for service, row := range r.rows {
		for _, version := range r.listed[service] {
			if len(row.Versions) > 0 && !row.has(version) {
				announced[service] = append(announced[service], version)
			}
		}
	}
	return announced
}

func (r *VersionRegistry) inStage(stage VersionStage) map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion {
	found := map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion{}
	for service, row := range r.rows {
		for _, v := range row.Versions {
			if v.Stage == stage {
				found[service] = append(found[service], v.Version)
			}
		}
	}
	return found
}

// Mixed returns the services of which several versions may have begun streams, or are about to, sorted.
func (r *VersionRegistry) Mixed() []vaneyoke.ServiceID {
	mixed := map[vaneyoke.ServiceID]bool{}
	for service := range r.services {
		known := map[vaneyoke.SoftwareVersion]bool{}
		for _, v := range r.rows[service].Versions {
			known[v.Version] = true
		}
		for _, version := range r.listed[service] {
			known[version] = true
		}
		if len(known) > 1 {
			mixed[service] = true
		}
	}
	r.addMoved(mixed)
	return slices.Sorted(maps.Keys(mixed))
}
