package pushback

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// maxPushback is the longest pushback that is honoured as requested. A longer one is treated as an error and replaced by defaultPushback.
	maxPushback     = time.Minute
	defaultPushback = 5 * time.Second
	// shutdownHold is how long an upstream that is shutting down gets no requests, even if it is still listed. It exceeds any drain time.
	shutdownHold = 10 * time.Minute
	// reportedDelay is how long a node still uses an upstream of whose shutdown only others were told, from when the shutdown may have begun. It is
	// shorter than the time in which an upstream that leaves has to be without new work, and until then the upstream serves as before, which counts
	// where many leave at once.
	reportedDelay = 1500 * time.Millisecond
	// reportedHold is how long it gets none if a single other node reported its shutdown: that node may be wrong. The upstream's own answers, or
	// those to a second node, confirm it.
	reportedHold = 30 * time.Second
)

// Signal is a pushback or a shutdown notice that an upstream sent in a response.
type Signal struct {
	Upstream vaneyoke.Upstream // as listed when the request was sent
	Pushback time.Duration     // how long it wants no requests from this node; 0 if not stated
	Leaving  bool              // whether it is shutting down
	Reporter vaneyoke.VMID     // node that got the response and reported the notice to this node; "" for a response to this node
	Since    time.Duration     // how long it may have been shutting down when a report came; 0 if unknown
}

// Reported returns the signal for a shutdown notice that another node got from an incarnation of an upstream, 0 if unknown, which may have been
// shutting down for since, 0 if unknown; ok is false if this node's list has a later incarnation.
func Reported(listed vaneyoke.Upstream, incarnation vaneyoke.Incarnation, reporter vaneyoke.VMID, since time.Duration) (signal Signal, ok bool) {
	if incarnation != 0 && incarnation < listed.Incarnation {
		return Signal{}, false
	}
	listed.Incarnation = max(incarnation, listed.Incarnation)
	return Signal{Upstream: listed, Leaving: true, Reporter: reporter, Since: max(since, 0)}, true
}

// Hold is the time for which a node sends no requests to one incarnation of an upstream; the zero value holds nothing back.
type Hold struct {
	Upstream     vaneyoke.UpstreamID
	Incarnation  vaneyoke.Incarnation // 0 if unknown
	URL          string
	PushbackEnds time.Time // zero if there was no pushback
	LeavingEnds  time.Time // end of the hold for a shutdown; zero if none was announced to this node
	reported     report
}

// report is a shutdown that other nodes reported, of an incarnation that may differ from the one that sent this node its last signal.
type report struct {
	incarnation vaneyoke.Incarnation // 0 if unknown
	url         string
	reporter    vaneyoke.VMID // the first one, "" for no report
	keptUntil   time.Time     // until when repetitions of the first reporter have no effect
	starts      time.Time     // of the hold
	ends        time.Time     // of the hold
}

// Active reports whether the upstream may get no requests now; a nil hold is never active.
func (h *Hold) Active(now time.Time, u *vaneyoke.Upstream) bool {
	return h.IsPushedBack(now, u) || h.IsLeaving(now, u)
}

// IsPushedBack reports whether the upstream requested a pushback that has not ended.
func (h *Hold) IsPushedBack(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && now.Before(h.PushbackEnds) && h.appliesTo(u)
}

// IsLeaving reports whether the upstream gets no requests because it is shutting down.
func (h *Hold) IsLeaving(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && (h.toldLeaving(now, u) || h.reportedLeaving(now, u) && !now.Before(h.reported.starts))
}

// HasAnnouncedLeaving reports whether the upstream announced that it is shutting down, to this node or to others.
func (h *Hold) HasAnnouncedLeaving(now time.Time, u *vaneyoke.Upstream) bool {
	return h != nil && (h.toldLeaving(now, u) || h.reportedLeaving(now, u))
}

func (h *Hold) toldLeaving(now time.Time, u *vaneyoke.Upstream) bool {
	return now.Before(h.LeavingEnds) && h.appliesTo(u)
}

func (h *Hold) reportedLeaving(now time.Time, u *vaneyoke.Upstream) bool {
	return now.Before(h.reported.ends) && applies(h.reported.url, h.reported.incarnation, u)
}

// appliesTo reports whether the hold applies to the listed incarnation of the upstream. The list may be older than the upstream's own signal, so
// the hold also applies to earlier incarnations.
func (h *Hold) appliesTo(u *vaneyoke.Upstream) bool { return applies(h.URL, h.Incarnation, u) }

func applies(url string, incarnation vaneyoke.Incarnation, u *vaneyoke.Upstream) bool {
	return url == u.URL && (incarnation == 0 || u.Incarnation <= incarnation)
}

// until returns when nothing of the hold is needed any more.
func (h *Hold) until() time.Time {
	return later(later(h.PushbackEnds, h.LeavingEnds), later(h.reported.keptUntil, h.reported.ends))
}

// report applies a shutdown notice that another node reported. A second node confirms it, unless its incarnation is unknown: then it may be about
// an earlier one.
func (h *Hold) report(now time.Time, signal Signal) {
	r, u := &h.reported, &signal.Upstream
	switch {
	case !now.Before(r.keptUntil), !applies(r.url, r.incarnation, u), r.incarnation == 0 && u.Incarnation != 0:
		h.reported = report{
			incarnation: u.Incarnation, url: u.URL, reporter: signal.Reporter,
			keptUntil: now.Add(shutdownHold), starts: now.Add(max(reportedDelay-signal.Since, 0)), ends: now.Add(reportedHold),
		}
	case u.Incarnation == r.incarnation && u.Incarnation != 0 && signal.Reporter != r.reporter:
		r.ends = now.Add(shutdownHold)
	}
}

// extend applies a signal; a hold is only ever prolonged.
func (h *Hold) extend(now time.Time, signal Signal) {
	if signal.Pushback > 0 {
		h.PushbackEnds = later(h.PushbackEnds, now.Add(effectivePushback(signal.Pushback)))
	}
	if signal.Leaving {
		h.LeavingEnds = later(h.LeavingEnds, now.Add(shutdownHold))
	}
}

// effectivePushback returns how long a requested pushback is honoured.
func effectivePushback(requested time.Duration) time.Duration {
	if requested > maxPushback {
		return defaultPushback
	}
	return requested
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
