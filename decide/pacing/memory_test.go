package pacing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

// TestMemoryGrowsWithCallers rejects ever new contents, routes and services.
func TestMemoryGrowsWithCallers(t *testing.T) {
	s, now, rng := New(), time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	for i := range 3 * maxRejected {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		a := Arrival{Route: vaneyoke.RouteID(fmt.Sprint(i / 16)), Content: vaneyoke.ContentID(id), Remaining: time.Minute}
		s.Classify(now, a)
		s.RetryAfter(now, rng, Rejection{Arrival: a, Service: vaneyoke.ServiceID(id[:min(len(id), 3)])})
		must.LessEq(t, maxRejected, len(s.rejected.newer)+len(s.rejected.older))
		must.LessEq(t, maxRoutes, len(s.routes))
		must.LessEq(t, maxCalendars, len(s.calendars))
	}
}
