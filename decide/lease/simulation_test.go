package lease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/lease"
)

const (
	step        = 50 * time.Millisecond
	tick        = 100 * time.Millisecond
	ttl         = 3 * time.Second
	thawGrace   = 300 * time.Millisecond // after a freeze, in which the checks skip calls of the node that was frozen
	callTimeout = 900 * time.Millisecond // longest wait of a node for an answer
)

// mutation breaks one rule of the lease, to show that the simulation detects it.
type mutation int

const (
	mutationNone             mutation = iota
	mutationExpiryFromAnswer          // the TTL runs from the answer to a renewal, not from when it was sent
	mutationTokenAfterExpiry          // the node acts with its last token even after the lease has expired
	mutationShortTTL                  // the node's TTL is shorter than the platform's
	mutationNoTakeoverDelay           // a new holder acts at once although the platform checks no tokens
	mutationOneIncarnation            // a restarted process has the incarnation of the previous one
)

// simulation is a set of nodes, of which one at a time may act, with a simulated clock.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	startedAt    time.Time
	checksTokens bool // whether the platform checks tokens
	mutation     mutation
	nodes        []*node
	scheduled    []scheduledCall

	row         lease.Row
	revision    vaneyoke.Revision
	storeDown   bool
	lostAnswers float64       // share of the store's answers that are lost
	maxDelay    time.Duration // longest one-way delay of a call to the store
	lateCalls   float64       // share of calls to the platform, and of writes to an unreachable store, that get no answer in time and are applied seconds later

	wants      func(i int) bool // which nodes want the lease
	storeCalls int

	highest    lease.FencingToken // that the platform has seen
	senders    map[lease.FencingToken]sender
	accepted   []acceptedCall
	violations []string
}

// sender is one incarnation of a node. Calls of an earlier incarnation may still be in flight.
type sender struct {
	node        int
	incarnation vaneyoke.Incarnation
}

// acceptedCall is a call that the platform accepted.
type acceptedCall struct {
	at    time.Time
	node  int
	token lease.FencingToken
}

type scheduledCall struct {
	at time.Time
	do func()
}

type node struct {
	state       *lease.State
	incarnation vaneyoke.Incarnation
	lastToken   lease.FencingToken // last token acquired
	frozenUntil time.Time
	downUntil   time.Time
	cutOffUntil time.Time     // cannot reach the store until then
	thawedAt    time.Time     // end of the last freeze
	answerDelay time.Duration // additional delay of the store's answers, after the write was applied
	inbox       []func()      // answers that arrived while it was frozen
	lastCallAt  time.Time
	inFlight    int // calls to the platform without an answer yet
}

func newSimulation(seed uint64, nodes int, checksTokens bool, m mutation) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), checksTokens: checksTokens, mutation: m, maxDelay: 40 * time.Millisecond,
		senders: map[lease.FencingToken]sender{}, revision: 500,
	}
	s.startedAt = s.now
	s.wants = func(i int) bool { return i == s.firstReachable() }
	for range nodes {
		s.nodes = append(s.nodes, &node{})
	}
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.startedAt) }

// firstReachable returns the first node that runs and can reach the store.
func (s *simulation) firstReachable() int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.running(s.now) && !s.now.Before(n.cutOffUntil) })
}

func (n *node) running(now time.Time) bool {
	return !now.Before(n.downUntil) && !now.Before(n.frozenUntil)
}

func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.incarnation++
	config := lease.Config{TTL: ttl, CallTimeout: callTimeout}
	if !s.checksTokens {
		config.TakeoverDelay = ttl
	}
	if s.mutation == mutationNoTakeoverDelay {
		config.TakeoverDelay = 0
	}
	if s.mutation == mutationShortTTL {
		config.TTL, config.CallTimeout = ttl/4, callTimeout/4
	}
	incarnation := n.incarnation
	if s.mutation == mutationOneIncarnation {
		incarnation = 1
	}
	n.state = lease.New(vaneyoke.VMID(fmt.Sprint("vm", i)), incarnation, config)
	n.lastToken, n.inbox, n.inFlight, n.answerDelay = 0, nil, 0, 0
}

func (s *simulation) after(d time.Duration, do func()) {
	s.scheduled = append(s.scheduled, scheduledCall{at: s.now.Add(d), do: do})
}

// run advances the clock until that time since the start; each is called at each step.
func (s *simulation) run(until time.Duration, each func()) {
	for s.elapsed() < until {
		s.now = s.now.Add(step)
		if each != nil {
			each()
		}
		due := s.scheduled
		s.scheduled = nil
		for _, d := range due {
			if d.at.After(s.now) {
				s.scheduled = append(s.scheduled, d)
				continue
			}
			d.do()
		}
		for i, n := range s.nodes {
			s.tickNode(i, n)
		}
	}
}

func (s *simulation) tickNode(i int, n *node) {
	if !n.running(s.now) {
		return
	}
	for _, do := range n.inbox {
		do()
	}
	n.inbox = nil
	if (s.elapsed()/step)%(tick/step) == time.Duration(i)%(tick/step) {
		s.handle(i, lease.Tick{Want: s.wants(i), Drained: n.inFlight == 0})
		s.callPlatform(i, n)
	}
}

// deliver delivers an answer to a node's incarnation, once it is not frozen.
func (s *simulation) deliver(i int, incarnation vaneyoke.Incarnation, do func()) {
	n := s.nodes[i]
	switch {
	case n.incarnation != incarnation || s.now.Before(n.downUntil):
	case s.now.Before(n.frozenUntil):
		n.inbox = append(n.inbox, func() { s.deliver(i, incarnation, do) })
	default:
		do()
	}
}

func (s *simulation) handle(i int, ev lease.Event) {
	for _, effect := range s.nodes[i].state.Handle(s.now, ev) {
		switch e := effect.(type) {
		case lease.Write:
			s.write(i, e.Row)
		case lease.Acquired:
			s.nodes[i].lastToken = e.Token
		case lease.Lost:
		}
	}
}

// write sends a write to the store.
func (s *simulation) write(i int, row lease.Row) {
	n := s.nodes[i]
	incarnation, sentAt := n.incarnation, s.now
	s.storeCalls++
	way := time.Duration(s.rng.Int64N(int64(s.maxDelay)))
	answer := func(ev lease.Event) func() { return func() { s.deliver(i, incarnation, func() { s.handle(i, ev) }) } }
	if s.storeDown || s.now.Before(n.cutOffUntil) {
		if s.rng.Float64() < s.lateCalls {
			s.after(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() { s.apply(row) })
		}
		s.after(callTimeout, answer(lease.Failed{}))
		return
	}
	s.after(way, func() {
		current, applied := s.apply(row)
		if s.rng.Float64() < s.lostAnswers {
			s.after(callTimeout, answer(lease.Failed{}))
			return
		}
		s.after(way+n.answerDelay, func() {
			s.deliver(i, incarnation, func() {
				if !applied {
					s.handle(i, lease.Conflict{Row: current})
					return
				}
				if s.mutation == mutationExpiryFromAnswer {
					sentAt = s.now
				}
				s.handle(i, lease.Written{Row: current, SentAt: sentAt})
			})
		})
	})
}

func (s *simulation) apply(row lease.Row) (current lease.Row, applied bool) {
	if row.Revision != s.row.Revision {
		return s.row, false
	}
	s.revision += 3
	s.row = lease.Row{Record: row.Record, Revision: s.revision}
	return s.row, true
}

// callPlatform has a node that holds the lease call the platform.
func (s *simulation) callPlatform(i int, n *node) {
	token, ok := n.state.ActiveToken(s.now)
	if s.mutation == mutationTokenAfterExpiry && n.lastToken != 0 {
		token, ok = n.lastToken, true
	}
	if !ok || s.now.Sub(n.lastCallAt) < 300*time.Millisecond {
		return
	}
	n.lastCallAt = s.now
	incarnation := n.incarnation
	if s.rng.Float64() < s.lateCalls {
		s.after(2*time.Second+time.Duration(s.rng.Int64N(int64(6*time.Second))), func() { s.platformReceives(sender{i, incarnation}, token, true) })
		return
	}
	n.inFlight++
	s.after(time.Duration(s.rng.Int64N(int64(callTimeout))), func() {
		accepted := s.platformReceives(sender{i, incarnation}, token, s.now.Sub(n.thawedAt) < thawGrace)
		s.deliver(i, incarnation, func() {
			n.inFlight--
			if !accepted {
				s.handle(i, lease.Refused{Token: token})
			}
		})
	})
}

// platformReceives has the platform receive a call, and reports whether it accepts it. A discounted call, which the checks skip, was in flight while its
// sender was frozen, or was applied late.
func (s *simulation) platformReceives(from sender, token lease.FencingToken, discounted bool) bool {
	if other, seen := s.senders[token]; seen && other != from {
		s.violations = append(s.violations, fmt.Sprintf("%v: token %d from %v and %v", s.elapsed(), token, other, from))
	}
	s.senders[token] = from
	if token < s.highest {
		if !s.checksTokens && !discounted {
			s.violations = append(s.violations, fmt.Sprintf("%v: token %d from %v after %d", s.elapsed(), token, from, s.highest))
		}
		if s.checksTokens {
			return false
		}
	}
	s.highest = max(s.highest, token)
	if !discounted {
		s.accepted = append(s.accepted, acceptedCall{at: s.now, node: from.node, token: token})
		s.checkAlternation()
	}
	return true
}

// checkAlternation records a violation where a node acted, then another, and then the first again, all within a TTL.
func (s *simulation) checkAlternation() {
	last := s.accepted[len(s.accepted)-1]
	other := false
	for _, a := range slices.Backward(s.accepted) {
		switch {
		case last.at.Sub(a.at) > ttl:
			return
		case a.node != last.node:
			other = true
		case other:
			s.violations = append(s.violations, fmt.Sprintf("%v: node %d acted, then another, then node %d again", s.elapsed(), a.node, a.node))
			return
		}
	}
}

func (s *simulation) kill(i int, pause time.Duration) {
	s.nodes[i].downUntil = s.now.Add(pause)
	s.start(i)
}

// stop shuts a node down gracefully, kills it after the grace period, and restarts it after the pause.
func (s *simulation) stop(i int, grace, pause time.Duration) {
	n := s.nodes[i]
	if !n.running(s.now) {
		return
	}
	incarnation := n.incarnation
	s.handle(i, lease.NodeStopping{Drained: n.inFlight == 0})
	s.after(grace, func() {
		if n.incarnation == incarnation {
			s.kill(i, pause)
		}
	})
}

// freeze suspends a node; its calls in flight continue.
func (s *simulation) freeze(i int, pause time.Duration) {
	n := s.nodes[i]
	n.frozenUntil = s.now.Add(pause)
	n.thawedAt = n.frozenUntil
}

// holder returns the node that acted last, or 0 if none has.
func (s *simulation) holder() int {
	if len(s.accepted) == 0 {
		return 0
	}
	return s.accepted[len(s.accepted)-1].node
}
