package node

import (
	"expvar"
	"maps"
	"sync"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
)

// Values of the setting of the queues' mode.
const (
	modeAuto   = "auto"
	modeRanked = "ranked"
)

// queueModes sets how the requests of each service are queued, by the setting, the routes of the active configuration and the upstreams' speeds.
type queueModes struct {
	node    *admissions.Node
	setting string

	mu     sync.Mutex
	ranked map[vaneyoke.ServiceID]bool // by the setting and the routes
	modes  map[vaneyoke.ServiceID]admission.Mode
}

func newQueueModes(node *admissions.Node, setting string) *queueModes {
	return &queueModes{node: node, setting: setting, ranked: map[vaneyoke.ServiceID]bool{}, modes: map[vaneyoke.ServiceID]admission.Mode{}}
}

// apply takes over the services of a route table; a service that it does not name any more is passive.
func (m *queueModes) apply(table *route.Table) {
	ranked := map[vaneyoke.ServiceID]bool{}
	for service, isMixed := range table.StreamServices() {
		ranked[service] = m.setting == modeRanked || (m.setting == modeAuto && isMixed)
	}
	m.mu.Lock()
	m.ranked = ranked
	known := maps.Clone(m.modes)
	m.mu.Unlock()
	for service := range known {
		if _, isListed := ranked[service]; !isListed {
			m.set(service, false)
		}
	}
	for service, isRanked := range ranked {
		m.set(service, isRanked)
	}
}

// update ranks a service whose upstreams are seen to differ in speed, unless the setting says otherwise.
func (m *queueModes) update(service vaneyoke.ServiceID, isUneven bool) {
	m.mu.Lock()
	isRanked, isListed := m.ranked[service]
	m.mu.Unlock()
	if isListed && m.setting == modeAuto {
		m.set(service, isRanked || isUneven)
	}
}

func (m *queueModes) set(service vaneyoke.ServiceID, isRanked bool) {
	mode := admission.ModePassive
	if isRanked {
		mode = admission.ModeRanked
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if before, known := m.modes[service]; known && before == mode {
		return
	}
	m.modes[service] = mode
	m.node.SetMode(service, mode)
}

// provideCallers returns the record of callers that were rejected.
func provideCallers(do.Injector) (*pacing.State, error) { return pacing.New(), nil }

// provideQueue returns the queues of prompts that wait for an upstream.
func provideQueue(i do.Injector) (*admissions.Node, error) {
	s := do.MustInvoke[settings.Settings](i).Admission
	return admissions.New(
		admission.Config{MaxQueued: s.MaxQueued, MaxBytes: s.MaxBytes}, do.MustInvoke[*pacing.State](i),
		admissions.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	), nil
}
