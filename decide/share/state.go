package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	interval       = 500 * time.Millisecond  // between two summaries to the parent, and between two to each child
	summaryTTL     = 3*interval + interval/2 // for which a child's summary, and this node's own demand, count
	parentTTL      = 2 * time.Second         // for which totals are used while the parent is silent
	orphanTTL      = time.Second             // for which totals are used while the node follows no other, which then is probably the root
	totalsTTL      = 3 * time.Second         // for which totals are used in any case, since the root added them up
	sequenceTTL    = 10 * time.Second        // for which a sender's last sequence is remembered
	loopTTL        = interval + interval/5   // for which a node sends its parent nothing after its own totals came back
	minDownGap     = interval / 4            // between two summaries of totals to the same child, unless one was lost
	baseDelay      = 40 * time.Millisecond   // between the receipt of the totals and the next summary to the parent
	heightDelay    = 65 * time.Millisecond   // added per level of the tree below the node, whose summaries come first
	maxHeightDelay = 400 * time.Millisecond
	maxJitter      = 20 * time.Millisecond
	repeatDelay    = 60 * time.Millisecond // after which a node that has not received the totals sends its summary once more
	maxResends     = 2                     // of the same totals to a child
	resendDelay    = 40 * time.Millisecond // after which a child's summary shows whether it has received the totals
	maxDownSends   = 16                    // summaries to children per interval; with more children they take turns
)

// State holds what a node knows of the demand of its subtree and of the fleet.
type State struct {
	self     vaneyoke.VMID
	rng      *rand.Rand
	sequence uint64
	parent   vaneyoke.VMID
	children []vaneyoke.VMID
	orphanAt time.Time // since when the node follows no other; zero while it follows one

	own     []Demand
	ownAt   time.Time // zero unless the node counts
	senders map[vaneyoke.VMID]*sender
	totals  *received // the last totals of a parent; nil if there are none, or they are too old

	sendAt      time.Time // next summary to the parent
	sentAt      time.Time // last one
	repeating   bool      // whether the next summary to the parent follows one that was sent without totals
	sentDownAt  time.Time
	unsent      bool      // whether totals were received that the children have not been sent
	lastDown    Summary   // the last totals that the children were sent, as of sentDownAt
	firstTarget int       // index of the child that is sent the next totals first
	loopUntil   time.Time // until when the parent may be in this node's subtree

	effects []Effect
}

// sender is what is known of a neighbour.
type sender struct {
	sequence     uint64
	receivedAt   time.Time
	up           *Summary // its last summary as a child; nil if there is none
	downSequence uint64   // of the last totals that it was sent
	resends      int      // of these
}

// received is a summary of the totals.
type received struct {
	summary    Summary
	receivedAt time.Time
	measuredAt time.Time // when the root added them up, by this node's clock
}

// New returns a state that knows nothing. A later start of the node needs a higher firstSequence, so that its summaries are not taken for
// duplicates of those of an earlier start.
func New(self vaneyoke.VMID, firstSequence uint64, rng *rand.Rand) *State {
	return &State{self: self, sequence: firstSequence, rng: rng, senders: map[vaneyoke.VMID]*sender{}}
}

// NextTick returns when Tick is due; zero before the first event.
func (s *State) NextTick() time.Time {
	next := s.sendAt
	if s.totals != nil {
		next = earlier(next, s.totalsExpiry().Add(1))
	}
	if s.unsent {
		next = earlier(next, s.sentDownAt.Add(minDownGap))
	}
	return next
}

// totalsExpiry returns until when the totals of the parent are used.
func (s *State) totalsExpiry() time.Time {
	expiry := earlier(s.totals.receivedAt.Add(parentTTL), s.totals.measuredAt.Add(totalsTTL))
	if !s.orphanAt.IsZero() {
		expiry = earlier(expiry, s.orphanAt.Add(orphanTTL))
	}
	return expiry
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// CountDue reports whether Counted is expected before the next Tick.
func (s *State) CountDue(now time.Time) bool {
	return !now.Before(s.sendAt) && now.Sub(s.ownAt) >= interval/2
}

// Handle processes an event and returns the actions to take; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	if s.sendAt.IsZero() {
		s.sentAt, s.sendAt = now.Add(-interval/2), now.Add(s.jitter(interval))
	}
	switch ev := ev.(type) {
	case Counted:
		s.own, s.ownAt = ev.Demands, now
	case TreeUpdated:
		s.setTree(now, ev)
	case SummaryReceived:
		s.receive(now, ev.Summary)
	case Tick:
		s.tick(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// setTree updates the neighbours and forgets the demand of those that are no children any more. A parent that follows this node is no child: their
// sums would include each other.
func (s *State) setTree(now time.Time, ev TreeUpdated) {
	s.parent, s.children = ev.Parent, ev.Children
	if s.parent != "" {
		s.orphanAt = time.Time{}
	} else if s.orphanAt.IsZero() {
		s.orphanAt = now
	}
	if slices.Contains(s.children, s.parent) {
		s.children = slices.DeleteFunc(slices.Clone(s.children), func(vm vaneyoke.VMID) bool { return vm == s.parent })
	}
	for vm, from := range s.senders {
		if !slices.Contains(s.children, vm) {
			from.up = nil
		}
	}
}

func (s *State) receive(now time.Time, summary Summary) {
	if reason := s.check(now, summary); reason != "" {
		s.emit(SummaryDropped{From: summary.From, Reason: reason})
		return
	}
	from := s.senders[summary.From]
	if from == nil {
		from = &sender{}
		s.senders[summary.From] = from
	}
	from.sequence, from.receivedAt = summary.Sequence, now
	if !summary.Down {
		from.up = &summary
		s.resend(now, from)
		return
	}
	if summary.Root == hashOf(s.self) {
		s.loopUntil = now.Add(loopTTL)
		s.emit(SummaryDropped{From: summary.From, Reason: DropLoop})
		return
	}
	s.totals = &received{summary: summary, receivedAt: now, measuredAt: now.Add(-summary.Age)}
	s.emit(UpdateTotals{Totals: newTotals(s.totals.measuredAt, summary.Nodes, summary.Services)})
	if s.unsent = now.Sub(s.sentDownAt) < minDownGap; !s.unsent {
		s.forwardTotals(now)
	}
	s.alignSend(now)
}

// check returns why a summary is not used, or "".
func (s *State) check(now time.Time, summary Summary) DropReason {
	if summary.From == "" || summary.From == s.self || summary.Down && summary.From != s.parent || !summary.Down && !slices.Contains(s.children, summary.From) {
		return DropStranger
	}
	if from := s.senders[summary.From]; from != nil && summary.Sequence <= from.sequence && now.Sub(from.receivedAt) <= sequenceTTL {
		return DropLate
	}
	if summary.Down && (summary.Age < 0 || summary.Age > totalsTTL) {
		return DropLate
	}
	if summary.Height < 0 || summary.Height >= maxHeight {
		return DropLoop
	}
	return ""
}

// alignSend makes all nodes send at a time after the root has added up the totals, those farther down the tree first, so that a sum takes one
// interval to the root, however many levels there are. Where the totals are lost, the node keeps its time.
func (s *State) alignSend(now time.Time) {
	at := s.totals.measuredAt.Add(baseDelay + min(heightDelay*time.Duration(s.height(now)), maxHeightDelay) + s.jitter(maxJitter))
	for at.Sub(s.sentAt) < interval/2 { // sent already
		at = at.Add(interval)
	}
	if latest := s.sentAt.Add(2 * interval); at.After(latest) { // also if totals come all the time
		at = latest
	}
	s.sendAt, s.repeating = at, false
}

func (s *State) tick(now time.Time) {
	expired := s.totals != nil && now.After(s.totalsExpiry())
	if expired {
		s.totals, s.unsent = nil, false
	}
	if s.unsent && now.Sub(s.sentDownAt) >= minDownGap && !expired {
		s.forwardTotals(now)
	}
	due := !now.Before(s.sendAt)
	if !due && !expired {
		return
	}
	summary, ok := s.subtree(now)
	if due {
		s.scheduleNext(now)
		s.removeExpired(now)
		if ok && s.parent != "" && !now.Before(s.loopUntil) {
			s.sendUp(summary)
		}
	}
	switch {
	case s.totals != nil && now.Sub(s.sentDownAt) >= interval*3/2: // the last totals were lost on their way here, again and again
		s.forwardTotals(now)
	case s.totals == nil && ok:
		s.emit(UpdateTotals{Totals: newTotals(now, summary.Nodes, summary.Services)})
		if now.Sub(s.sentDownAt) >= minDownGap {
			s.sendDown(now, Summary{Root: hashOf(s.self), Nodes: summary.Nodes, Services: forChildren(summary.Services)})
		}
	case expired:
		s.emit(UpdateTotals{})
	}
}

// scheduleNext sets the time of the next summary. If the totals have not come since the last one, the same is sent twice: it shows the parent what
// this node lacks.
func (s *State) scheduleNext(now time.Time) {
	if s.repeating && now.Sub(s.sentAt) < interval/2 {
		s.repeating, s.sendAt = false, s.sentAt.Add(interval)
		return
	}
	s.repeating = s.totals != nil && s.totals.receivedAt.Before(s.sentAt)
	s.sentAt, s.sendAt = now, now.Add(interval)
	if s.repeating {
		s.sendAt = now.Add(repeatDelay)
	}
}

// subtree returns the demand of this node and its children; ok is false if none of them counts.
func (s *State) subtree(now time.Time) (summary Summary, ok bool) {
	all := sum{}
	if s.counts(now) {
		all.addDemands(s.own)
		summary.Nodes++
	}
	for _, vm := range s.children {
		if up := s.childSummary(now, vm); up != nil {
			all.addShares(up.Services)
			summary.Nodes += clamp(up.Nodes, maxNodes)
		}
	}
	if summary.Nodes == 0 {
		return Summary{}, false
	}
	summary.Nodes = min(summary.Nodes, maxNodes)
	summary.Height = s.height(now)
	summary.Services = all.shares()
	return summary, true
}

// counts reports whether this node counts its own demand.
func (s *State) counts(now time.Time) bool {
	return !s.ownAt.IsZero() && now.Sub(s.ownAt) <= summaryTTL
}

// childSummary returns the last summary of a child, nil if it is too old.
func (s *State) childSummary(now time.Time, vm vaneyoke.VMID) *Summary {
	from := s.senders[vm]
	if from == nil || now.Sub(from.receivedAt) > summaryTTL {
		return nil
	}
	return from.up
}

// height returns the number of levels of the tree below this node.
func (s *State) height(now time.Time) (height int) {
	for _, vm := range s.children {
		if up := s.childSummary(now, vm); up != nil {
			height = max(height, up.Height+1)
		}
	}
	return min(height, maxHeight)
}

func (s *State) sendUp(summary Summary) {
	s.sequence++
	summary.From, summary.Sequence = s.self, s.sequence
	if from := s.senders[s.parent]; from != nil {
		summary.Acked = from.sequence
	}
	summary.Services = forParent(summary.Services)
	summary.fit()
	s.emit(SendSummary{To: s.parent, Summary: summary})
}

// forwardTotals sends the totals of the parent to the children.
func (s *State) forwardTotals(now time.Time) {
	summary := s.totals.summary
	summary.Height, summary.Acked = 0, 0
	summary.Age = max(0, now.Sub(s.totals.measuredAt))
	s.sendDown(now, summary)
}

func (s *State) sendDown(now time.Time, summary Summary) {
	s.sentDownAt, s.unsent = now, false
	s.sequence++
	summary.From, summary.Sequence, summary.Down = s.self, s.sequence, true
	summary.fit()
	s.lastDown = summary
	count := min(len(s.children), maxDownSends)
	for i := range count {
		to := s.children[(s.firstTarget+i)%len(s.children)]
		if from := s.senders[to]; from != nil {
			from.downSequence, from.resends = s.sequence, 0
		}
		s.emit(SendSummary{To: to, Summary: summary})
	}
	if count > 0 {
		s.firstTarget = (s.firstTarget + count) % len(s.children)
	}
}

// resend sends a child the last totals once more if its summary shows that it has not received them.
func (s *State) resend(now time.Time, from *sender) {
	held := now.Sub(s.sentDownAt)
	if from.resends >= maxResends || from.up.Acked >= from.downSequence || held < resendDelay || held > interval {
		return
	}
	from.resends++
	s.sequence++
	summary := s.lastDown
	summary.Sequence = s.sequence
	summary.Age += held
	s.emit(SendSummary{To: from.up.From, Summary: summary})
}

func (s *State) removeExpired(now time.Time) {
	for vm, from := range s.senders {
		if now.Sub(from.receivedAt) > sequenceTTL {
			delete(s.senders, vm)
		}
	}
}

func (s *State) jitter(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}
