package node

import (
	"expvar"
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
	mixed  map[vaneyoke.ServiceID]bool // services of the active configuration, and whether their routes differ in priority
	uneven map[vaneyoke.ServiceID]bool // whether a service's upstreams are seen to differ in speed
	modes  map[vaneyoke.ServiceID]admission.Mode
}

func newQueueModes(node *admissions.Node, setting string) *queueModes {
	return &queueModes{
		node: node, setting: setting,
		mixed: map[vaneyoke.ServiceID]bool{}, uneven: map[vaneyoke.ServiceID]bool{}, modes: map[vaneyoke.ServiceID]admission.Mode{},
	}
}

// apply takes over the services of a route table; a service that it does not name any more is passive.
func (m *queueModes) apply(table *route.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mixed = table.StreamServices()
	for service := range m.modes {
		m.setLocked(service)
	}
	for service := range m.mixed {
		m.setLocked(service)
	}
}

// update records whether the upstreams of a service are seen to differ in speed.
func (m *queueModes) update(service vaneyoke.ServiceID, isUneven bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, isListed := m.mixed[service]; isListed {
		m.uneven[service] = isUneven
		m.setLocked(service)
	}
}

func (m *queueModes) setLocked(service vaneyoke.ServiceID) {
	mode := m.modeOf(service)
	if before, known := m.modes[service]; known && before == mode {
		return
	}
	m.modes[service] = mode
	m.node.SetMode(service, mode)
}

func (m *queueModes) modeOf(service vaneyoke.ServiceID) admission.Mode {
	isMixed, isListed := m.mixed[service]
	if !isListed {
		return admission.ModePassive
	}
	if m.setting == modeRanked || (m.setting == modeAuto && (isMixed || m.uneven[service])) {
		return admission.ModeRanked
	}
	return admission.ModePassive
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
