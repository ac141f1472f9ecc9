package ratelimit

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// acquisition is an attempt of this node to acquire a permit.
type acquisition struct {
	id         PermitID
	upstream   vaneyoke.UpstreamID
	candidates []vaneyoke.VMID // owners that have not been asked yet
	pending    []uint64        // sequence numbers of requests whose responses are awaited
	hedgeAt    time.Time       // when a hedged request goes to the next candidate; zero if there is none
	retryAfter time.Duration   // shortest one that an owner returned; 0 for none
}

// request is a request that was sent to an owner.
type request struct {
	permit   PermitID // 0 for a ping
	upstream vaneyoke.UpstreamID
	to       vaneyoke.VMID
	sentAt   time.Time
	deadline time.Time // until which the response is awaited
	timedOut bool      // whether the deadline has passed
}

// acquire tries to get a permit: a spare one, one from this node's own bucket if it is an owner, or one from the other owners in turn.
func (s *State) acquire(now time.Time, ev AcquirePermit) {
	e := s.limits[ev.Upstream]
	if e == nil || !e.limit.Declared || e.useSpare(now) {
		s.emit(PermitDecided{ID: ev.ID, Granted: true})
		return
	}
	a := &acquisition{id: ev.ID, upstream: ev.Upstream}
	a.candidates = s.candidates(now, ev.Upstream, e)
	s.acquisitions = append(s.acquisitions, a)
	s.tryNext(now, a)
}

// useSpare takes a permit that was granted after its acquisition had ended, and reports whether there was one.
func (e *limitEntry) useSpare(now time.Time) bool {
	if e.spare == 0 || now.After(e.spareUntil) {
		e.spare = 0
		return false
	}
	e.spare--
	return true
}

// candidates returns the owners that may have a permit: this node first, then those of its data centre, then the others; each group in random
// order, so that the requests are spread evenly.
func (s *State) candidates(now time.Time, upstream vaneyoke.UpstreamID, e *limitEntry) []vaneyoke.VMID {
	all := slices.DeleteFunc(slices.Clone(s.ownersOf(upstream, e)), func(vm vaneyoke.VMID) bool {
		return now.Before(e.exhaustedUntil[vm]) || now.Before(s.healthOf(vm).skipUntil)
	})
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(x, y vaneyoke.VMID) int { return s.distance(x) - s.distance(y) })
	return all
}

// distance ranks nodes by proximity: this node, nodes of its data centre, all others.
func (s *State) distance(vm vaneyoke.VMID) int {
	switch {
	case vm == s.self:
		return 0
	case s.dataCentreOf(vm) == s.dataCentre:
		return 1
	default:
		return 2
	}
}

func (s *State) dataCentreOf(vm vaneyoke.VMID) vaneyoke.DataCentreID {
	i := slices.IndexFunc(s.members, func(m Member) bool { return m.VM == vm })
	if i < 0 {
		return ""
	}
	return s.members[i].DataCentre
}

// tryNext asks the next candidate. If none is left and no response is pending, the permit is denied.
func (s *State) tryNext(now time.Time, a *acquisition) {
	e := s.limits[a.upstream]
	if !e.limit.Declared { // the limit has ended meanwhile
		s.finish(a, PermitDecided{ID: a.id, Granted: true})
		return
	}
	for len(a.candidates) > 0 {
		vm := a.candidates[0]
		a.candidates = a.candidates[1:]
		if vm != s.self {
			s.requestPermit(now, a, e, vm)
			return
		}
		b := s.bucketOf(a.upstream, e)
		if b.take(now, e.rate()) {
			s.finish(a, PermitDecided{ID: a.id, Granted: true})
			return
		}
		e.markExhausted(s.self, now.Add(b.untilAvailable(now, e.rate())))
		a.noteRetryAfter(b.reserveRetry(now, e.rate()))
	}
	a.hedgeAt = time.Time{}
	if len(a.pending) == 0 {
		s.deny(now, a)
	}
}

// requestPermit asks an owner for a permit, and schedules a hedged request to the next candidate, if there is one.
func (s *State) requestPermit(now time.Time, a *acquisition, e *limitEntry, vm vaneyoke.VMID) {
	timeout := s.requestTimeout(vm)
	s.sendRequest(now, &request{permit: a.id, upstream: a.upstream, to: vm, sentAt: now, deadline: now.Add(timeout)}, e, false)
	a.pending = append(a.pending, s.lastSeq)
	a.hedgeAt = time.Time{}
	if len(a.candidates) > 0 {
		a.hedgeAt = now.Add(min(max(minHedgeDelay, s.responseTimes[s.dataCentreOf(vm)]*3/2), timeout))
	}
}

// sendRequest sends a request, and keeps it until the response has arrived or a permit would no longer be valid.
func (s *State) sendRequest(now time.Time, r *request, e *limitEntry, ping bool) {
	s.lastSeq++
	s.requests[s.lastSeq] = r
	s.emit(SendPermitRequest{To: r.to, Request: PermitRequest{Seq: s.lastSeq, Notice: s.notice(now, r.upstream, e), Ping: ping}})
}

// removePending removes a request whose response is no longer awaited.
func (a *acquisition) removePending(seq uint64) {
	a.pending = slices.DeleteFunc(a.pending, func(n uint64) bool { return n == seq })
}

// noteRetryAfter records the retry-after time that an owner returned; the shortest one counts.
func (a *acquisition) noteRetryAfter(retryAfter time.Duration) {
	if a.retryAfter == 0 || retryAfter < a.retryAfter {
		a.retryAfter = max(retryAfter, time.Millisecond)
	}
}

// markExhausted records until when an owner has no permit.
func (e *limitEntry) markExhausted(vm vaneyoke.VMID, until time.Time) {
	if e.exhaustedUntil == nil {
		e.exhaustedUntil = map[vaneyoke.VMID]time.Time{}
	}
	e.exhaustedUntil[vm] = until
}

// handleResponse processes an owner's response.
func (s *State) handleResponse(now time.Time, ev PermitResponded) {
	r, ok := s.requests[ev.Response.Seq]
	if !ok || r.to != ev.From {
		return
	}
	delete(s.requests, ev.Response.Seq)
	s.recordResponse(r.to, now.Sub(r.sentAt))
	if ev.Response.Notice.Upstream == r.upstream {
		s.applyNotice(now, ev.Response.Notice, ev.From)
	}
	e := s.limits[r.upstream]
	if e == nil || r.permit == 0 {
		return
	}
	availableIn := clampMs(ev.Response.AvailableInMs)
	if !ev.Response.Granted {
		e.markExhausted(r.to, now.Add(availableIn))
	}
	valid := now.Sub(r.sentAt) < permitTTL // otherwise this node may have been suspended, and the owner has granted further permits meanwhile
	i := slices.IndexFunc(s.acquisitions, func(a *acquisition) bool { return a.id == r.permit })
	switch {
	case i < 0 && ev.Response.Granted && valid:
		e.spare++
		e.spareUntil = r.sentAt.Add(permitTTL)
	case i < 0:
	case ev.Response.Granted && valid:
		s.finish(s.acquisitions[i], PermitDecided{ID: r.permit, Granted: true})
	default:
		a := s.acquisitions[i]
		a.removePending(ev.Response.Seq)
		if !ev.Response.Granted {
			a.noteRetryAfter(clampMs(ev.Response.RetryAfterMs))
		}
		s.tryNext(now, a)
	}
}

// clampMs converts a time received from another node, bounded by maxRetryAfter.
func clampMs(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxRetryAfter.Milliseconds())) * time.Millisecond
}

// deny ends an acquisition without a permit, with the time until there may be one.
func (s *State) deny(now time.Time, a *acquisition) {
	availableIn := maxRetryAfter
	e := s.limits[a.upstream]
	for _, vm := range s.ownersOf(a.upstream, e) {
		availableIn = min(availableIn, max(later(e.exhaustedUntil[vm], s.healthOf(vm).skipUntil).Sub(now), minRetryDelay))
	}
	if len(e.owners) == 0 {
		availableIn = notOwnerDelay
	}
	s.finish(a, PermitDecided{ID: a.id, AvailableIn: availableIn, RetryAfter: max(a.retryAfter, availableIn)})
}

// finish removes an acquisition and reports its outcome.
func (s *State) finish(a *acquisition, d PermitDecided) {
	s.acquisitions = slices.DeleteFunc(s.acquisitions, func(other *acquisition) bool { return other == a })
	s.emit(d)
}

// advanceAcquisitions times out requests, and asks the next candidates of acquisitions whose requests have timed out or are to be hedged.
func (s *State) advanceAcquisitions(now time.Time) {
	for seq, r := range s.requests {
		switch {
		case now.Sub(r.sentAt) >= permitTTL:
			delete(s.requests, seq)
			s.recordTimeout(now, seq, r)
		case !now.Before(r.deadline):
			s.recordTimeout(now, seq, r)
		}
	}
	for _, a := range slices.Clone(s.acquisitions) {
		switch {
		case s.limits[a.upstream] == nil:
			s.finish(a, PermitDecided{ID: a.id, Granted: true})
		case len(a.pending) == 0 || (!a.hedgeAt.IsZero() && !now.Before(a.hedgeAt)):
			s.tryNext(now, a)
		}
	}
}
