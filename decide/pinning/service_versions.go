package pinning

import (
	"cmp"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/names"
)

// VersionStage says whether streams may have begun at a software version.
type VersionStage int

// The stages.
const (
	StageAnnounced VersionStage = iota + 1 // listed; it begins no streams while an admitted version is available, so that nodes can record theirs first
	StageAdmitted                          // it begins streams
	StageRetired                           // it began streams and is not listed any more
)

// String returns the stage as it is logged.
func (s VersionStage) String() string {
	return names.Of(s, "none", "announced", "admitted", "retired")
}

// ServiceVersion is a software version of a service's upstreams as the store records it.
type ServiceVersion struct {
	Version vaneyoke.SoftwareVersion
	Stage   VersionStage
	Since   vaneyoke.StoreTime // of the stage
}

// String returns the version with its stage.
func (v ServiceVersion) String() string { return string(v.Version) + ":" + v.Stage.String() }

// ServiceVersions records which software versions may have begun streams of a service. It is written ahead: a version is recorded before it begins streams.
type ServiceVersions struct {
	Service  vaneyoke.ServiceID
	Versions []ServiceVersion // sorted by version
	// Complete says that no other version began a stream whose caller may still come back.
	Complete bool
	Since    vaneyoke.StoreTime // start of the record
	Revision vaneyoke.Revision  // of the store's row; 0 for none
}

// VersionsConfig holds the delays of the record of a service's versions.
type VersionsConfig struct {
	AdmissionDelay time.Duration // from the announcement of a version until it is admitted
	Retention      time.Duration // for which callers may come back for a stream
	Uptime         time.Duration // of this node's process
	// NoEarlierBuilds says that no node runs, or has run of late, a build that begins streams without a record.
	NoEarlierBuilds bool
}

const (
	maxVersions = 16 // in a record
	// minStageAge is how old a stage is before the list of one node can end it, since that of another may be older.
	minStageAge = 2 * time.Second
	// reentryDelay is how long after the start of the process that admits it a version begins no streams that was announced before. If the processes of all
	// nodes have ended meanwhile, the streams without a record belong to earlier versions, and their callers come back.
	reentryDelay = 6 * time.Second
)

// Advance returns the record at a time at which the given versions are listed, whether it differs from s, and how long after that it changes next unless
// the list does; 0 for not at all.
func (s ServiceVersions) Advance(now vaneyoke.StoreTime, listed []vaneyoke.SoftwareVersion, config VersionsConfig) (next ServiceVersions, changed bool, due time.Duration) {
	s, changed = s.notAfter(now)
	next = s
	next.Versions = nil
	if s.Revision == 0 {
		next.Complete, next.Since, changed = config.NoEarlierBuilds, now, true
	}
	if !next.Complete && now.Sub(next.Since) >= config.Retention {
		next.Complete, changed = true, true
	}
	for _, v := range s.Versions {
		advanced := v.advance(now, slices.Contains(listed, v.Version), config)
		changed = changed || advanced.Stage != v.Stage
		if advanced.Stage != 0 {
			next.Versions = append(next.Versions, advanced)
		}
	}
	stage := StageAnnounced
	if !next.hasListed(StageAdmitted, listed) { // the others begin streams then, which their callers may take up when an admitted one is back
		stage = StageAdmitted
		changed = next.admit(now, listed) || changed
	}
	for _, version := range listed {
		if !next.has(version) && len(next.Versions) < maxVersions {
			next.Versions, changed = append(next.Versions, ServiceVersion{Version: version, Stage: stage, Since: now}), true
		}
	}
	slices.SortFunc(next.Versions, func(a, b ServiceVersion) int { return cmp.Compare(a.Version, b.Version) })
	return next, changed, next.due(now, listed, config)
}

// admit admits the announced versions that are listed, and reports whether there were any.
func (s ServiceVersions) admit(now vaneyoke.StoreTime, listed []vaneyoke.SoftwareVersion) (changed bool) {
	for i, v := range s.Versions {
		if v.Stage == StageAnnounced && slices.Contains(listed, v.Version) {
			s.Versions[i], changed = ServiceVersion{Version: v.Version, Stage: StageAdmitted, Since: now}, true
		}
	}
	return changed
}

// notAfter returns the record with times of the future set to the present one, as a row of another writer or of another clock may have them, and whether there
// were any.
func (s ServiceVersions) notAfter(now vaneyoke.StoreTime) (adjusted ServiceVersions, changed bool) {
	changed = s.Since > now
	s.Since = min(s.Since, now)
	s.Versions = slices.Clone(s.Versions)
	for i := range s.Versions {
		v := &s.Versions[i]
		changed = changed || v.Since > now
		v.Since = min(v.Since, now)
	}
	return s, changed
}

// advance returns the next state of a version; its stage is 0 if it is to be dropped.
func (v ServiceVersion) advance(now vaneyoke.StoreTime, isListed bool, config VersionsConfig) ServiceVersion {
	if stage, at := v.next(now, isListed, config); stage != v.Stage && now >= at {
		return ServiceVersion{Version: v.Version, Stage: stage, Since: now}
	}
	return v
}

// next returns the next stage of a version and when it begins, or the present one if it stays; 0 for none.
func (v ServiceVersion) next(now vaneyoke.StoreTime, isListed bool, config VersionsConfig) (VersionStage, vaneyoke.StoreTime) {
	switch {
	case v.Stage == StageRetired && isListed:
		return StageAdmitted, v.Since.Add(minStageAge)
	case v.Stage == StageRetired:
		return 0, v.Since.Add(config.Retention)
	case !isListed:
		return StageRetired, v.Since.Add(minStageAge)
	case v.Stage == StageAnnounced:
		return StageAdmitted, v.admitAt(now.Add(-config.Uptime), config)
	default:
		return v.Stage, v.Since
	}
}

// admitAt returns when an announced version is admitted by a process that started at the given time.
func (v ServiceVersion) admitAt(startedAt vaneyoke.StoreTime, config VersionsConfig) vaneyoke.StoreTime {
	if v.Since < startedAt {
		return max(v.Since.Add(config.AdmissionDelay), startedAt.Add(reentryDelay))
	}
	return v.Since.Add(config.AdmissionDelay)
}

// due returns after which time the record changes by itself; 0 for not at all.
func (s ServiceVersions) due(now vaneyoke.StoreTime, listed []vaneyoke.SoftwareVersion, config VersionsConfig) (due time.Duration) {
	soonest := func(at vaneyoke.StoreTime) {
		if left := max(at.Sub(now), time.Millisecond); due == 0 || left < due {
			due = left
		}
	}
	if !s.Complete {
		soonest(s.Since.Add(config.Retention))
	}
	for _, v := range s.Versions {
		if stage, at := v.next(now, slices.Contains(listed, v.Version), config); stage != v.Stage {
			soonest(at)
		}
	}
	return due
}

func (s ServiceVersions) has(version vaneyoke.SoftwareVersion) bool {
	return slices.ContainsFunc(s.Versions, func(v ServiceVersion) bool { return v.Version == version })
}

// hasListed reports whether a version of a stage is among those that are listed.
func (s ServiceVersions) hasListed(stage VersionStage, listed []vaneyoke.SoftwareVersion) bool {
	return slices.ContainsFunc(s.Versions, func(v ServiceVersion) bool { return v.Stage == stage && slices.Contains(listed, v.Version) })
}

// hasBegunStreams reports whether any version may have begun streams.
func (s ServiceVersions) hasBegunStreams() bool {
	return slices.ContainsFunc(s.Versions, func(v ServiceVersion) bool { return v.Stage != StageAnnounced })
}

// isCurrent reports whether the record agrees with the versions that are listed, and nothing in it is to change.
func (s ServiceVersions) isCurrent(listed []vaneyoke.SoftwareVersion) bool {
	return s.Complete && len(s.Versions) == len(listed) && !slices.ContainsFunc(s.Versions, func(v ServiceVersion) bool {
		return v.Stage != StageAdmitted || !slices.Contains(listed, v.Version)
	})
}
