package pins

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// VersionStore stores which software versions may have begun streams.
type VersionStore interface {
	// Read returns the versions of a service and the store's time.
	Read(ctx context.Context, service vaneyoke.ServiceID) (pinning.ServiceVersions, vaneyoke.StoreTime, error)
	// Write stores the versions of a service if the row still has their revision; an error with CodeStoreRace says that it has another one.
	Write(ctx context.Context, versions pinning.ServiceVersions) error
}

// Reader reports whether this node reads the store.
type Reader interface {
	// ConfirmedByStore reports whether the node reads the store, and the store has recently confirmed the tables to it.
	ConfirmedByStore() bool
}

// StageListener is told which listed versions are not to begin streams yet, and which began streams and are not listed any more.
type StageListener interface {
	SetVersionStages(announced, retired map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion)
}

const (
	readerCheckInterval = time.Second            // until a node with an outdated record looks again whether it reads the store
	versionRetryDelay   = 500 * time.Millisecond // after a call to the store that failed
	maxVersionJitter    = 20 * time.Millisecond  // spreads the writes of several readers
)

// Versions keeps the store's record of the software versions that may have begun streams up to date, and tells the other components about it.
type Versions struct {
	store    VersionStore
	reader   Reader
	config   func() pinning.VersionsConfig
	listener StageListener
	onMixed  func([]vaneyoke.ServiceID)
	log      logrus.FieldLogger

	changes   sync.Mutex // held while a change is applied and passed on, so that the last call has the current state
	mixed     []vaneyoke.ServiceID
	announced map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion
	retired   map[vaneyoke.ServiceID][]vaneyoke.SoftwareVersion

	mu       sync.Mutex
	registry *pinning.VersionRegistry
	timer    *time.Timer
	dueAt    time.Time // of the timer; zero for none
	closed   bool
}

// NewVersions returns a component that knows no versions. It calls onMixed with the services of which several versions may have begun streams whenever
// these change.
func NewVersions(
	store VersionStore, reader Reader, config func() pinning.VersionsConfig, listener StageListener, onMixed func([]vaneyoke.ServiceID), log logrus.FieldLogger,
) *Versions {
	v := &Versions{store: store, reader: reader, config: config, listener: listener, onMixed: onMixed, log: log, registry: pinning.NewVersionRegistry()}
	v.timer = time.AfterFunc(time.Hour, v.update)
	v.timer.Stop()
	return v
}

// Close stops the timer.
func (v *Versions) Close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	v.timer.Stop()
}

// SetRows updates the store's records.
func (v *Versions) SetRows(rows []pinning.ServiceVersions) {
	v.apply(func(r *pinning.VersionRegistry) { r.SetRows(rows) })
}

// SetUpstreams updates the list of upstreams.
func (v *Versions) SetUpstreams(upstreams []vaneyoke.Upstream) {
	v.apply(func(r *pinning.VersionRegistry) { r.SetUpstreams(upstreams) })
}

// SetRoutes updates the services to which the routes of streams lead.
func (v *Versions) SetRoutes(routes map[pinning.RouteName][]vaneyoke.ServiceID) {
	v.apply(func(r *pinning.VersionRegistry) { r.SetRoutes(steady.Now(), routes) })
}

// Former returns the services that may have begun streams of a route which leads to the given ones and no others.
func (v *Versions) Former(services []vaneyoke.ServiceID) []vaneyoke.ServiceID {
	retention := v.config().Retention
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.ForgetRoutes(steady.Now(), retention)
	return v.registry.Former(services)
}

// Candidates returns the versions that may have begun streams of a service; isComplete is false if others may have, too.
func (v *Versions) Candidates(service vaneyoke.ServiceID) (versions []vaneyoke.SoftwareVersion, isComplete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Candidates(service)
}

// apply changes the registry and passes on what follows.
func (v *Versions) apply(change func(*pinning.VersionRegistry)) {
	v.changes.Lock()
	defer v.changes.Unlock()
	retention := v.config().Retention
	v.mu.Lock()
	change(v.registry)
	v.registry.ForgetRoutes(steady.Now(), retention)
	mixed, announced, retired := v.registry.Mixed(), v.registry.Announced(), v.registry.Retired()
	if len(v.registry.Outdated()) > 0 {
		v.scheduleLocked(rand.N(maxVersionJitter))
	}
	v.mu.Unlock()
	if !maps.EqualFunc(announced, v.announced, slices.Equal) || !maps.EqualFunc(retired, v.retired, slices.Equal) {
		v.announced, v.retired = announced, retired
		v.listener.SetVersionStages(announced, retired)
	}
	if !slices.Equal(mixed, v.mixed) {
		v.mixed = mixed
		v.log.WithFields(logrus.Fields{"services": mixed}).Info("versions_mixed")
		v.onMixed(mixed)
	}
}

func (v *Versions) scheduleLocked(after time.Duration) {
	at := time.Now().Add(after)
	if v.closed || (!v.dueAt.IsZero() && !at.Before(v.dueAt)) {
		return
	}
	v.dueAt = at
	v.timer.Reset(after)
}

// update writes the records that are outdated, if this node reads the store.
func (v *Versions) update() {
	v.mu.Lock()
	v.dueAt = time.Time{}
	outdated := v.registry.Outdated()
	v.mu.Unlock()
	if len(outdated) == 0 {
		return
	}
	if !v.reader.ConfirmedByStore() {
		v.schedule(readerCheckInterval)
		return
	}
	for _, service := range outdated {
		due, err := v.updateService(service)
		if err != nil {
			v.log.WithFields(logrus.Fields{"service": service, "error": err}).Warn("versions_not_recorded")
			due = versionRetryDelay
		}
		if due > 0 {
			v.schedule(due)
		}
	}
}

func (v *Versions) schedule(after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.scheduleLocked(after)
}

// updateService brings the record of a service up to date, and returns after which time it changes next; 0 for not at all.
func (v *Versions) updateService(service vaneyoke.ServiceID) (due time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	stored, now, err := v.store.Read(ctx, service)
	if err != nil {
		return 0, err
	}
	v.mu.Lock()
	listed := slices.Clone(v.registry.Listed(service))
	v.mu.Unlock()
	next, changed, due := stored.Advance(now, listed, v.config())
	if !changed {
		return due, nil
	}
	err = v.store.Write(ctx, next)
	if vaneyoke.CodeOf(err) == vaneyoke.CodeStoreRace {
		return maxVersionJitter, nil // another node has written it; it is read again
	}
	if err == nil {
		v.log.WithFields(logrus.Fields{"service": service, "versions": next.Versions, "complete": next.Complete, "listed": listed}).Info("versions_recorded")
	}
	return due, err
}
