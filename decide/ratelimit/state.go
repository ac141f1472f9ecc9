package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	ownersPerLimit   = 3 // nodes that grant an upstream's permits
	standbysPerGroup = 2 // nodes ranked next in the upstream's data centre, and as many in others, that are pinged because they would become owners
	localOwners      = 2 // owners in the upstream's data centre if there are nodes elsewhere, because the nodes of a data centre fail together

	// minProbeRate is the rate at which requests are sent to an upstream that declares a lower one, because only its responses tell
	// that its limit has ended.
	minProbeRate vaneyoke.PerSecond = 0.1

	minHedgeDelay         = 25 * time.Millisecond  // minimum delay of a hedged request to another owner: a few round trips within a region
	maxRequestTimeout     = 150 * time.Millisecond // upper bound of a request's timeout: twice the round trip between regions
	defaultRequestTimeout = 50 * time.Millisecond  // timeout if no response from the owner's data centre has been measured
	minRequestTimeout     = 10 * time.Millisecond  // lower bound of a request's timeout: nodes share their CPUs with other processes
	requestTimeoutFactor  = 3                      // timeout as a multiple of the measured response time
	responseTimeDecay     = 8                      // a faster response lowers the measured response time by 1/8 of the difference
	timeoutsBeforeSkip    = 2                      // consecutive timeouts after which an owner is skipped
	permitTTL             = 300 * time.Millisecond // time after the request for which a permit may be used; the owner counts it as used then
	skipDuration          = time.Second            // time for which an unresponsive owner is not asked
	livenessCheckAfter    = 10 * time.Second       // time without a response after which an owner's liveness is checked: longer than nodes are frozen or partitioned
	pingInterval          = 2 * time.Second        // between pings of the other owners and the standbys
	recentDemand          = 5 * time.Second        // time after a request for a permit during which an owner pings the others
	newOwnerDelay         = time.Second            // time for which a new owner grants nothing, because the previous one grants until it learns of the change
	notOwnerDelay         = 250 * time.Millisecond // time after which a node that does not regard itself as an owner is asked again
	maxRetryAfter         = 5 * time.Second        // upper bound of the wait that a caller or node is told
	minRetryDelay         = 5 * time.Millisecond   // minimum time before an owner is asked again

	gossipBatchDelay     = 10 * time.Millisecond  // time for which notices are collected before they are sent
	gossipInterval       = 100 * time.Millisecond // between datagrams to a neighbour
	ownerUpdateInterval  = 250 * time.Millisecond // minimum time between notices of changed rates to the owners of a limit
	noticeSends          = 3                      // number of times that a notice is sent to each neighbour, since datagrams may be lost
	maxNoticesPerMessage = 10                     // per datagram
	maxLimits            = 4096                   // kept in memory
	maxNoticeAge         = time.Hour              // older notices count as this old
	unlistedTTL          = 30 * time.Second       // time for which the limit of an unlisted upstream is kept
	cleanupInterval      = 5 * time.Second

	rateTolerance     = 0.25                   // relative difference by which the stored rate may deviate
	reconcileInterval = 500 * time.Millisecond // between checks of the stored rows while one of them is wrong
	standInDelay      = 700 * time.Millisecond // time after which the next owner in rank writes a row that the previous one has not
	writeInterval     = 2 * time.Second        // minimum time between a node's writes for one upstream
)

// State is a node's state of distributed rate limiting: the known limits, the permits it grants as an owner, and those it acquires.
type State struct {
	self       vaneyoke.VMID
	dataCentre vaneyoke.DataCentreID
	rng        *rand.Rand

	members        []Member                        // whose builds support rate limits
	fleetSize      int                             // number of all members
	firstMembersAt time.Time                       // when members were first known
	lastMembersAt  time.Time                       // when they were last updated
	upstreams      []vaneyoke.Upstream             // as listed; read-only
	listings       map[vaneyoke.UpstreamID]listing // index of upstreams, built on first use
	limits         map[vaneyoke.UpstreamID]*limitEntry
	neighbours     []vaneyoke.VMID
	outboxes       []*outbox // of the neighbours whose builds support rate limits
	nextGossip     time.Time // zero if no notice is queued
	lastGossip     time.Time

	acquisitions       []*acquisition
	requests           map[uint64]*request
	lastSeq            uint64 // of the latest request
	health             map[vaneyoke.VMID]*ownerHealth
	nextPing, lastPing time.Time                               // nextPing is zero if no ping is scheduled
	responseTimes      map[vaneyoke.DataCentreID]time.Duration // smoothed, by the owner's data centre

	rows          map[vaneyoke.UpstreamID]*rowState
	nextReconcile time.Time // zero if all stored rows are right

	lastCleanup time.Time
	effects     []Effect
}

// New returns the state of a node that knows no limits.
func New(self vaneyoke.VMID, dataCentre vaneyoke.DataCentreID, rng *rand.Rand) *State {
	return &State{
		self: self, dataCentre: dataCentre, rng: rng, lastSeq: rng.Uint64N(1 << 40),
		limits: map[vaneyoke.UpstreamID]*limitEntry{}, requests: map[uint64]*request{}, health: map[vaneyoke.VMID]*ownerHealth{},
		rows: map[vaneyoke.UpstreamID]*rowState{}, responseTimes: map[vaneyoke.DataCentreID]time.Duration{},
	}
}

// Handle processes an event and returns the effects to carry out; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case MembersUpdated:
		s.setMembers(now, ev.All)
	case NeighboursUpdated:
		s.setNeighbours(now, ev.VMs)
	case UpstreamsUpdated:
		s.setUpstreams(now, ev.All)
	case LimitObserved:
		s.observeLimit(now, ev)
	case NoticesReceived:
		s.receiveNotices(now, ev)
	case PermitRequested:
		s.handleRequest(now, ev)
	case PermitResponded:
		s.handleResponse(now, ev)
	case AcquirePermit:
		s.acquire(now, ev)
	case RowsUpdated:
		s.setRows(now, ev.Rows)
	case Tick:
	}
	s.advanceAcquisitions(now)
	s.sendGossip(now)
	s.cleanUp(now)
	s.reconcileRows(now)
	s.ping(now)
	return s.effects
}

// NextTick returns when Tick is due, or the zero time if no Tick is needed.
func (s *State) NextTick() time.Time {
	next := earlier(earlier(s.nextGossip, s.nextReconcile), s.nextPing)
	for _, a := range s.acquisitions {
		next = earlier(next, a.hedgeAt)
	}
	for _, r := range s.requests {
		if !r.timedOut {
			next = earlier(next, r.deadline)
		}
	}
	return next
}

// earlier returns the earlier of two times; the zero time stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Limited reports whether an upstream declares a rate limit.
func (s *State) Limited(upstream vaneyoke.UpstreamID) bool { return s.limitOf(upstream).Declared }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
