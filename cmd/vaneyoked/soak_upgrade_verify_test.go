package main

import (
	"net/http"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

// verify checks the guarantees against what callers and engines observed.
func (s *upgradeSoak) verify() {
	s.verifyKeys()
	s.verifyCrashes()
	for _, e := range s.engines {
		load, _ := e.PeakRunLoad(limitBound, func(run *platformtest.Run) bool {
			_, own := s.currentBuildCalls.Load(run.ID())
			return own
		})
		if float64(load.Requests) > load.Allowed {
			s.fail("%s got %d requests of this build in %s, allowed %.1f", e.ID, load.Requests, limitBound.Window, load.Allowed)
		}
	}
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	s.t.Logf("seed %d: %d streams complete, %d broken; %d engines crashed; %d processes ended by themselves", *soakSeed, s.complete.Load(), s.broken.Load(), len(s.crashes), s.unexpectedExits.Load())
}

// verifyKeys checks that a process which has refused the revoked key never accepts it again, and that all processes refuse it soon after the revocation.
// It allows 2 s more than revocationTime, as the store may be unavailable at that time.
func (s *upgradeSoak) verifyKeys() {
	refused := map[string]time.Time{}
	slices.SortFunc(s.keyUses, func(a, b keyUse) int { return a.sent.Compare(b.sent) })
	late := 0
	for _, use := range s.keyUses {
		switch at, known := refused[use.incarnation]; {
		case use.status == http.StatusUnauthorized && (!known || use.answered.Before(at)):
			refused[use.incarnation] = use.answered
		case use.status == http.StatusOK && known && use.sent.After(at):
			s.fail("%s accepted a key that it had refused", use.incarnation)
		case use.status == http.StatusOK && !s.revokedAt.IsZero() && use.sent.After(s.revokedAt.Add(revocationTime+2*time.Second)):
			late++
		}
	}
	if late > 0 {
		s.fail("a revoked key was accepted %d times later than %s after its revocation", late, revocationTime+2*time.Second)
	}
}

// verifyCrashes checks that the crashing request reaches at most maxLateRuns engines in quiet times, unless a build lacks the quarantine.
func (s *upgradeSoak) verifyCrashes() {
	for _, b := range s.earlierBuilds {
		if slices.Contains(withoutQuarantine, b.commit) {
			return
		}
	}
	lateRuns := 0
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.Body == crashingBody && slices.ContainsFunc(s.quiet, func(c span) bool { return run.Began.After(c.from) && run.Began.Before(c.to) }) {
				lateRuns++
			}
		}
	}
	if lateRuns > maxLateRuns {
		s.fail("the request that crashes engines reached %d of them in quiet times", lateRuns)
	}
}
