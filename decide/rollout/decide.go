package rollout

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// tick drops stale reports and stops rollouts that turned out bad. On the node that reads the store for the others it also writes the
// next stage of each rollout. The write is conditional on the row's revision, so that no leader election is needed.
func (s *State) tick(now time.Time) {
	for service, p := range s.rollouts {
		p.dropStaleReports(now)
		s.stopIfBad(service, p)
	}
	if !s.readsStore || s.rows == nil || len(s.orders) == 0 {
		return
	}
	for service, order := range s.orders {
		if row, ok := s.rows[service]; ok && row.Stage.Final() && order.Revision <= row.latestOrder() {
			continue
		}
		if s.clockReadAt.IsZero() {
			s.requestClock(now)
			return
		}
		s.advance(now, order)
	}
}

// dropStaleReports removes the reports of nodes that have not reported here within reportTTL.
func (p *progress) dropStaleReports(now time.Time) {
	for vm, child := range p.children {
		if now.Sub(child.receivedAt) > reportTTL {
			delete(p.children, vm)
		}
	}
}

// stopIfBad stops a rollout whose target is bad according to the answers that this node knows of.
func (s *State) stopIfBad(service vaneyoke.ServiceID, p *progress) {
	if p.bad || p.stage.Final() {
		return
	}
	if verdict, reason := Evaluate(p.totalTally()); verdict == VerdictBad {
		s.markBad(service, p, reason)
	}
}

// requestClock has the store's clock read, unless it was requested within minWriteInterval.
func (s *State) requestClock(now time.Time) {
	if s.clockRequestedAt.IsZero() || now.Sub(s.clockRequestedAt) >= minWriteInterval {
		s.clockRequestedAt = now
		s.emit(ReadClock{})
	}
}

// storeTime returns the current time on the store's clock.
func (s *State) storeTime(now time.Time) vaneyoke.StoreTime {
	return s.clock + vaneyoke.StoreTime(now.Sub(s.clockReadAt))
}

// advance writes the next stage of an order when it is due.
func (s *State) advance(now time.Time, order activeOrder) {
	at := s.storeTime(now)
	row, ok := s.rows[order.Service]
	if !ok || !row.appliesTo(order.Order, at) {
		s.startRollout(now, at, order, row.Revision)
		return
	}
	p := s.rollouts[order.Service]
	if order.Revision > row.latestOrder() { // a repeated order must not start a new rollout once the deadline has passed
		record := row.Record
		record.LastRepeat = order.Revision
		s.write(now, p, Write{Record: record, Expect: row.Revision})
		return
	}
	stage, reason := s.nextStage(now, time.Duration(row.Deadline-at), order.Order, p)
	if stage == row.Stage {
		return
	}
	record := row.Record
	record.Stage, record.Reason, record.WrittenBy = stage, reason, s.self
	s.write(now, p, Write{Record: record, Expect: row.Revision})
}

// startRollout writes the first record of an order. The deadline counts from when this node learned of the order, however late the
// record is written.
func (s *State) startRollout(now time.Time, at vaneyoke.StoreTime, order activeOrder, expect vaneyoke.Revision) {
	p := s.rollouts[order.Service]
	if p == nil {
		p = &progress{ownTally: Tally{}, pendingLosses: map[vaneyoke.UpstreamID][]Answered{}, children: map[vaneyoke.VMID]childReport{}}
		s.rollouts[order.Service] = p
	}
	record := Record{
		Service: order.Service, Target: order.Target, Order: order.Revision, Stage: StageCanary, Deadline: at - vaneyoke.StoreTime(now.Sub(order.learnedAt)) + vaneyoke.StoreTime(order.Within), WrittenBy: s.self,
	}
	if versions := s.upstreamCounts[order.Service]; versions[order.Target] > 0 && len(versions) == 1 {
		record.Stage, record.Reason = StageCompleted, ReasonAlreadyDeployed
	}
	s.write(now, p, Write{Record: record, Expect: expect})
}

// write emits a write, unless the last one for the same rollout was less than minWriteInterval ago.
func (s *State) write(now time.Time, p *progress, w Write) {
	if !p.lastWrite.IsZero() && now.Sub(p.lastWrite) < minWriteInterval {
		return
	}
	p.lastWrite = now
	s.emit(w)
}

// nextStage returns the stage that the rollout should be in now, and the reason; left is the time until the deadline. A version that was
// not shown to be good is reverted, because the old upstreams work and completing a rollout stops them for good.
func (s *State) nextStage(now time.Time, left time.Duration, order Order, p *progress) (Stage, Reason) {
	if p.bad {
		_, reason := Evaluate(p.totalTally())
		if reason != ReasonSlow {
			reason = ReasonFailures
		}
		return StageReverted, reason
	}
	verdict, _ := Evaluate(p.totalTally())
	deadlineNear := left <= decisionMargin
	switch p.stage {
	case StageCanary:
		switch {
		case deadlineNear && s.upstreamCounts[order.Service][order.Target] == 0:
			return StageReverted, ReasonNoUpstreams
		case deadlineNear:
			return StageReverted, ReasonTooFew
		case verdict == VerdictGood && left <= completionTime(order.Within):
			return StageRamp, ReasonGood
		}
	case StageRamp:
		switch {
		case verdict == VerdictGood && now.Sub(p.stageSince) >= minRampTime:
			return StageFull, ReasonGood
		case deadlineNear:
			return StageReverted, ReasonTooFew
		}
	case StageFull:
		if deadlineNear || (now.Sub(p.stageSince) >= minFullTime && s.oldUpstreamsIdle(order.Service, p)) {
			return StageCompleted, ReasonGood
		}
	default: // final stages do not change
	}
	return p.stage, ""
}

// completionTime returns how long before an order's deadline the canary may end; that time is left for the later stages. The canary lasts as
// long as possible because a version may turn bad later.
func completionTime(within time.Duration) time.Duration {
	return min(max(time.Duration(completionShare*float64(within)), minCompletionTime), maxCompletionTime)
}

// oldUpstreamsIdle reports whether no attempts run at the old upstreams, and all reporting nodes know of the full stage.
func (s *State) oldUpstreamsIdle(service vaneyoke.ServiceID, p *progress) bool {
	for _, report := range s.Reports() {
		if report.Service == service {
			return report.Running == 0 && report.Stage == StageFull
		}
	}
	return p.stage.Final()
}
