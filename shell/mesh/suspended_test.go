package mesh

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// TestSuspendedNodeReportsFullAge suspends a node's VM while the store is unavailable: the age that it reports must include the suspension.
func TestSuspendedNodeReportsFullAge(t *testing.T) {
	var suspended atomic.Int64
	t.Cleanup(steady.ReplaceSystem(steady.New(func() time.Duration { return time.Duration(suspended.Load()) })))
	p := startMesh(t, 1)[0]
	age := func() time.Duration {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, AgePath, nil))
		var b tableStatus
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &b))
		must.True(t, b.Complete)
		return time.Duration(b.AgeMs) * time.Millisecond
	}
	for start := time.Now(); p.version.Load() == 0; time.Sleep(time.Millisecond) {
		must.Less(t, testTimeout, time.Since(start))
	}
	must.Less(t, 5*time.Second, age())
	p.store.down.Store(true)
	suspended.Add(int64(7 * time.Second))
	must.GreaterEq(t, 7*time.Second, age())
}
