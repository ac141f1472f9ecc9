package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

const (
	maxConfigPause     = 1500 * time.Millisecond
	maxSuccession      = 100 * time.Millisecond // between two changes in quick succession
	hundredsOfRoutes   = 300
	maxFurtherRoutes   = 1500
	configTakesEffect  = 3 * time.Second // after a change, for which requests may still get the earlier settings
	longRouteTimeout   = 24 * time.Second
	middleRouteTimeout = 18 * time.Second
	shortRouteTimeout  = 14 * time.Second
)

// changingRoutes is the configuration that a soak changes.
type changingRoutes struct {
	streams, calls []string // services of the routes; two share the requests
	weights        []int
	timeout        time.Duration
	further        int // routes that nobody uses
	keys           []string

	mu       sync.Mutex
	timeouts []routeTimeout
}

// routeTimeout is a timeout of the routes, and when it was set.
type routeTimeout struct {
	from    time.Time
	timeout time.Duration
}

func (r *changingRoutes) reset() {
	r.streams, r.calls, r.weights, r.timeout, r.further, r.keys = []string{"lm"}, []string{"shop"}, []int{50, 50}, longRouteTimeout, 0, []string{soakKey}
}

// change makes one change.
func (r *changingRoutes) change(rng *rand.Rand) {
	switch rng.IntN(7) {
	case 0:
		r.streams = [][]string{{"lm"}, {"lm-next"}}[rng.IntN(2)]
	case 1:
		r.calls = [][]string{{"shop"}, {"shop-next"}}[rng.IntN(2)]
	case 2:
		r.streams, r.calls = []string{"lm", "lm-next"}, []string{"shop", "shop-next"}
	case 3:
		share := 5 + rng.IntN(90)
		r.weights = []int{share, 100 - share}
	case 4:
		r.timeout = []time.Duration{longRouteTimeout, middleRouteTimeout, shortRouteTimeout}[rng.IntN(3)]
	case 5:
		r.further = (r.further + hundredsOfRoutes) % maxFurtherRoutes
	case 6:
		r.keys = append(slices.Clone(r.keys), fmt.Sprint("key-", len(r.keys)))
	}
}

// list returns the routes.
func (r *changingRoutes) list() []platformtest.Route {
	route := func(name string, kind platformtest.Kind, services []string, attempts int) platformtest.Route {
		route := platformtest.Route{Name: name, Kind: kind, Service: services[0], Attempts: attempts, Timeout: r.timeout}
		if len(services) > 1 {
			route.Split, route.Weights = services, r.weights
		}
		return route
	}
	routes := []platformtest.Route{
		route("tell", platformtest.Streaming, r.streams, 5),
		route("look", platformtest.Repeatable, r.calls, 2),
		route("buy", platformtest.Once, r.calls, 1),
	}
	for n := range r.further {
		routes = append(routes, route(fmt.Sprint("further-", n), platformtest.Repeatable, r.calls, 2))
	}
	return routes
}

// shortestTimeout returns the shortest timeout that a request may have had.
func (r *changingRoutes) shortestTimeout(during span) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	shortest := longRouteTimeout
	for i, set := range r.timeouts {
		wasReplaced := i+1 < len(r.timeouts) && r.timeouts[i+1].from.Add(configTakesEffect).Before(during.from)
		if !wasReplaced && set.from.Before(during.to) {
			shortest = min(shortest, set.timeout)
		}
	}
	return shortest
}

// applyRoutes writes the configuration.
func (s *configSoak) applyRoutes() {
	s.routes.mu.Lock()
	s.routes.timeouts = append(s.routes.timeouts, routeTimeout{time.Now(), s.routes.timeout})
	s.routes.mu.Unlock()
	s.version++
	s.store.ConfigureKeys(s.version, soakHost, s.routes.keys, s.routes.list()...)
}

// changeRoutes changes the configuration until ctx ends, at times twice in quick succession.
func (s *configSoak) changeRoutes(ctx context.Context, rng *rand.Rand) {
	for sleepContext(ctx, time.Duration(rng.Int64N(int64(maxConfigPause)))) {
		s.routes.change(rng)
		s.applyRoutes()
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.Int64N(int64(maxSuccession))))
			s.routes.change(rng)
			s.applyRoutes()
		}
	}
}
