package node

import (
	"expvar"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/decide/pacing"
	"github.com/vaneyoke/vaneyoke/decide/route"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
)

// queueModes sets how the requests of each service are queued, by the setting and the routes of the active configuration.
type queueModes struct {
	node    *admissions.Node
	setting string
	ranked  map[vaneyoke.ServiceID]bool
}

// apply sets the modes of the services of a route table; a service that it does not name any more is passive.
func (m *queueModes) apply(table *route.Table) {
	ranked := map[vaneyoke.ServiceID]bool{}
	for service, isMixed := range table.StreamServices() {
		ranked[service] = m.setting == "ranked" || (m.setting == "auto" && isMixed)
	}
	for service := range m.ranked {
		if _, isListed := ranked[service]; !isListed {
			m.node.SetMode(service, admission.ModePassive)
		}
	}
	for service, isRanked := range ranked {
		mode := admission.ModePassive
		if isRanked {
			mode = admission.ModeRanked
		}
		m.node.SetMode(service, mode)
	}
	m.ranked = ranked
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
