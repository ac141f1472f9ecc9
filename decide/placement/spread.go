package placement

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// Spread selects the services whose requests are spread by memory, work left and speed of the upstreams.
type Spread int

// The ways to select services.
const (
	SpreadAuto Spread = iota // those whose queue is ranked, and those whose upstreams are seen to differ in speed
	SpreadOn                 // all
	SpreadOff                // none
)

// String returns the name in the settings.
func (s Spread) String() string { return names.Of(s, "auto", "on", "off") }

const (
	unevenRatio = 1.5 // between the speeds of the slower and the faster quarter of a service's upstreams, above which these are uneven
	evenRatio   = 1.2 // below which they are even again
	unevenDelay = 5 * time.Second
	evenDelay   = 60 * time.Second
)

// unevenness tracks whether the requests of a service are spread by the speed of its upstreams.
type unevenness struct {
	isRanked    bool
	isSeen      bool      // whether its upstreams are seen to differ in speed
	differsFrom time.Time // since when what is seen differs from isSeen; zero if it does not
}

// SetSpread selects the services that are spread.
func (s *State) SetSpread(spread Spread) { s.spread = spread }

// SetUneven marks a service to be spread because its queue is ranked.
func (s *State) SetUneven(service vaneyoke.ServiceID, isRanked bool) {
	s.unevennessOf(service).isRanked = isRanked
}

// IsUneven reports whether the requests of a service are spread by memory, work left and speed of its upstreams.
func (s *State) IsUneven(service vaneyoke.ServiceID) bool {
	switch s.spread {
	case SpreadOn:
		return true
	case SpreadOff:
		return false
	default:
		u := s.uneven[service]
		return u != nil && (u.isRanked || u.isSeen)
	}
}

// UnevenServices returns the services for which IsUneven is true, sorted.
func (s *State) UnevenServices() []vaneyoke.ServiceID {
	services := lo.Uniq(lo.FilterMap(s.sorted, func(e *entry, _ int) (vaneyoke.ServiceID, bool) {
		return e.upstream.Service, e.upstream.Kind == vaneyoke.KindService && s.IsUneven(e.upstream.Service)
	}))
	slices.Sort(services)
	return services
}

func (s *State) unevennessOf(service vaneyoke.ServiceID) *unevenness {
	u := s.uneven[service]
	if u == nil {
		u = &unevenness{}
		s.uneven[service] = u
	}
	return u
}

// updateSpread updates whether the upstreams of a service are seen to differ in speed.
func (s *State) updateSpread(now time.Time, service vaneyoke.ServiceID) {
	factors := lo.FilterMap(s.sorted, func(e *entry, _ int) (gossip.Factor, bool) {
		return e.slowness.current(now), e.upstream.Service == service
	})
	if len(factors) == 0 {
		return
	}
	slices.Sort(factors)
	fast, slow := factors[len(factors)/4], factors[len(factors)*3/4] // quartiles, so that a few slow upstreams do not make a service uneven
	u := s.unevennessOf(service)
	delay, differs := unevenDelay, slow > unevenRatio*fast
	if u.isSeen {
		delay, differs = evenDelay, slow < evenRatio*fast
	}
	switch {
	case !differs:
		u.differsFrom = time.Time{}
	case u.differsFrom.IsZero():
		u.differsFrom = now
	case now.Sub(u.differsFrom) >= delay:
		u.isSeen, u.differsFrom = !u.isSeen, time.Time{}
	}
}
