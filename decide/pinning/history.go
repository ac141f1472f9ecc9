package pinning

import (
	"maps"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// historyTTL is how long a version that is not listed any more may have streams whose callers come back.
	historyTTL = 10 * time.Minute
	// goneDelay is how long a version may be missing from the list before it counts as gone: while upstreams restart under new ids, their version may
	// be listed by none.
	goneDelay = 2 * time.Second
)

// History holds which software versions the upstreams of each service have run.
type History struct {
	since    time.Time // start of the history; zero before the first update
	services map[offer]map[vaneyoke.SoftwareVersion]*listing
}

// offer identifies what the upstreams of several versions offer: a service, or models.
type offer struct {
	kind    vaneyoke.UpstreamKind
	service vaneyoke.ServiceID
}

// listing says how a version is listed.
type listing struct {
	listed   bool
	live     bool      // whether an upstream of it accepts work
	unlisted time.Time // since when it is not listed
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{services: map[offer]map[vaneyoke.SoftwareVersion]*listing{}}
}

// Update records the list of upstreams.
func (h *History) Update(now time.Time, upstreams []vaneyoke.Upstream) {
	if h.since.IsZero() {
		h.since = now
	}
	current := map[offer]map[vaneyoke.SoftwareVersion]*listing{}
	for i := range upstreams {
		u := &upstreams[i]
		key := offer{u.Kind, u.Service}
		if current[key] == nil {
			current[key] = map[vaneyoke.SoftwareVersion]*listing{}
		}
		l := current[key][u.Version]
		if l == nil {
			l = &listing{listed: true}
			current[key][u.Version] = l
		}
		l.live = l.live || u.State == vaneyoke.StateLive
	}
	for key, versions := range h.services {
		for version, l := range versions {
			if now.Sub(l.unlistedAt(now)) < historyTTL && current[key][version] == nil {
				if current[key] == nil {
					current[key] = map[vaneyoke.SoftwareVersion]*listing{}
				}
				current[key][version] = &listing{unlisted: l.unlistedAt(now)}
			}
		}
	}
	h.services = current
}

// SetRetired records versions that served before this node saw the list; they count as missing from when it knows of them.
func (h *History) SetRetired(now time.Time, retired map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion) {
	for service, versions := range retired {
		key := offer{vaneyoke.KindService, service}
		for _, version := range versions {
			if h.services[key][version] != nil {
				continue
			}
			if h.services[key] == nil {
				h.services[key] = map[vaneyoke.SoftwareVersion]*listing{}
			}
			h.services[key][version] = &listing{unlisted: now}
		}
	}
}

// unlistedAt returns since when a version that is not listed now is missing.
func (l *listing) unlistedAt(now time.Time) time.Time {
	if l.listed {
		return now
	}
	return l.unlisted
}

// Watched returns for how long the list of upstreams has been known.
func (h *History) Watched(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// Versions returns the versions of a service's upstreams whose streams may still go on, sorted.
func (h *History) Versions(now time.Time, service vaneyoke.ServiceID) []vaneyoke.SoftwareVersion {
	versions := h.services[offer{vaneyoke.KindService, service}]
	recent := maps.Clone(versions)
	maps.DeleteFunc(recent, func(_ vaneyoke.SoftwareVersion, l *listing) bool { return now.Sub(l.unlistedAt(now)) >= historyTTL })
	return slices.Sorted(maps.Keys(recent))
}

// IsGone reports whether a version had upstreams of which none accepts work any more, and none is expected to.
func (h *History) IsGone(now time.Time, kind vaneyoke.UpstreamKind, service vaneyoke.ServiceID, version vaneyoke.SoftwareVersion) bool {
	l := h.services[offer{kind, service}][version]
	switch {
	case l == nil:
		return false
	case l.listed:
		return !l.live
	default:
		return now.Sub(l.unlisted) >= goneDelay
	}
}
