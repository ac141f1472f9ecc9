package pins_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/shell/pins"
)

type versionsByService = map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion

// versionStore is a store of one service's record, and what a component is told.
type versionStore struct {
	mu        sync.Mutex
	row       pinning.ServiceVersions
	began     time.Time
	fails     bool
	races     int // writes that find another revision
	calls     int
	isReader  bool
	announced versionsByService
	mixed     []vaneyoke.ServiceID
}

func (s *versionStore) Read(_ context.Context, service vaneyoke.ServiceID) (pinning.ServiceVersions, vaneyoke.StoreTime, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fails {
		return pinning.ServiceVersions{}, 0, errors.New("the store does not answer")
	}
	row := s.row
	row.Service = service
	return row, vaneyoke.StoreTime(time.Since(s.began)), nil
}

func (s *versionStore) Write(_ context.Context, row pinning.ServiceVersions) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.races > 0 || row.Revision != s.row.Revision {
		s.races--
		return vaneyoke.Err(vaneyoke.CodeStoreRace, "the row has another version")
	}
	row.Revision++
	s.row = row
	return nil
}

func (s *versionStore) ConfirmedByStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReader
}

func (s *versionStore) SetVersionStages(announced, _ versionsByService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = announced
}

func (s *versionStore) setMixed(services []vaneyoke.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mixed = services
}

func (s *versionStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// stages returns the store's record.
func (s *versionStore) stages() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.row.Versions {
		all = append(all, v.String())
	}
	return all
}

func upstreamsOf(versions ...vaneyoke.SoftwareVersion) (all []vaneyoke.Upstream) {
	for _, v := range versions {
		all = append(all, vaneyoke.Upstream{Kind: vaneyoke.KindService, Service: "lm", Version: v, State: vaneyoke.StateLive})
	}
	return all
}

// newVersions returns a component whose store records v1, and lists it.
func newVersions(t *testing.T) (*pins.Versions, *versionStore) {
	s := &versionStore{began: time.Now().Add(-time.Hour), isReader: true, row: pinning.ServiceVersions{
		Service: "lm", Complete: true, Revision: 1, Versions: []pinning.ServiceVersion{{Version: "v1", Stage: pinning.StageAdmitted}},
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := func() pinning.VersionsConfig {
		return pinning.VersionsConfig{AdmissionDelay: time.Second, Retention: 20 * time.Second, Uptime: time.Hour}
	}
	v := pins.NewVersions(s, s, config, s, s.setMixed, log)
	t.Cleanup(v.Close)
	v.SetRoutes(map[pinning.RouteName][]vaneyoke.ServiceID{"tell": {"lm"}})
	v.SetRows([]pinning.ServiceVersions{s.row})
	v.SetUpstreams(upstreamsOf("v1"))
	return v, s
}

// Guards against a version that begins streams although the store does not record it, and against a record that is not written, or again and again.
func TestVersionsAreRecordedBeforeTheyBeginStreams(t *testing.T) {
	cases := map[string]struct {
		disrupt  func(s *versionStore)
		recorded []string // three seconds after the second version was listed
		calls    int      // at most
	}{
		"in calm":                     {func(*versionStore) {}, []string{"v1:admitted", "v2:admitted"}, 5},
		"another node writes as well": {func(s *versionStore) { s.races = 2 }, []string{"v1:admitted", "v2:admitted"}, 10},
		"the store fails":             {func(s *versionStore) { s.fails = true }, []string{"v1:admitted"}, 8},
		"another node reads it":       {func(s *versionStore) { s.isReader = false }, []string{"v1:admitted"}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v, s := newVersions(t)
				time.Sleep(time.Minute)
				must.EqOp(t, 0, s.calls) // one version costs nothing
				s.set(func() { tc.disrupt(s) })
				v.SetUpstreams(upstreamsOf("v1", "v2"))
				must.Eq(t, versionsByService{"lm": {"v2"}}, s.announced) // at once, before anything is written
				must.Eq(t, []vaneyoke.ServiceID{"lm"}, s.mixed)
				time.Sleep(3 * time.Second)
				must.Eq(t, tc.recorded, s.stages())
				s.set(func() { must.LessEq(t, tc.calls, s.calls) })
				v.SetRows([]pinning.ServiceVersions{s.row})
				must.EqOp(t, len(tc.recorded) == 1, len(s.announced) == 1) // until it is admitted
			})
		})
	}
}
