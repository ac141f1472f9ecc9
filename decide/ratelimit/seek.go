package ratelimit

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// want is a permit that this node looks for.
type want struct {
	id       PermitID
	upstream vaneyoke.UpstreamID
	left     []vaneyoke.VMID // keepers that are still to be asked
	open     []uint64        // questions whose answers are waited for
	nextAt   time.Time       // when the next keeper is asked although the last has not answered; the zero time where none is left
	turn     time.Duration   // that a keeper told; 0 for none
}

// question is one that a keeper was asked.
type question struct {
	want     PermitID // 0 for a ping
	upstream vaneyoke.UpstreamID
	to       vaneyoke.VMID
	at       time.Time
	endAt    time.Time // until which its answer is waited for
	late     bool      // whether that is over
}

// wanted looks for a permit: a spare one, one of this node's own where it is a keeper, or one of the other keepers in turn.
func (s *State) wanted(now time.Time, ev Want) {
	k := s.known[ev.Upstream]
	if k == nil || !k.limit.Declared || k.useSpare(now) {
		s.do(Decide{ID: ev.ID, Granted: true})
		return
	}
	w := &want{id: ev.ID, upstream: ev.Upstream}
	w.left = s.askable(now, ev.Upstream, k)
	s.wants = append(s.wants, w)
	s.goOn(now, w)
}

func (k *known) useSpare(now time.Time) bool {
	if k.spare == 0 || now.After(k.kept) {
		k.spare = 0
		return false
	}
	k.spare--
	return true
}

// askable returns the keepers that may have a permit: this node first, then those of its data centre, in a random order otherwise, so that
// all of them are asked alike.
func (s *State) askable(now time.Time, upstream vaneyoke.UpstreamID, k *known) []vaneyoke.VMID {
	all := slices.DeleteFunc(slices.Clone(s.keepersOf(upstream, k)), func(vm vaneyoke.VMID) bool {
		return now.Before(k.refused[vm]) || now.Before(s.paceOf(vm).silent)
	})
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b vaneyoke.VMID) int { return s.distance(a) - s.distance(b) })
	return all
}

// distance orders nodes by how far they are: this one, one of its data centre, any other.
func (s *State) distance(vm vaneyoke.VMID) int {
	switch {
	case vm == s.self:
		return 0
	case s.centreOf(vm) == s.dataCentre:
		return 1
	default:
		return 2
	}
}

func (s *State) centreOf(vm vaneyoke.VMID) vaneyoke.DataCentreID {
	i := slices.IndexFunc(s.members, func(m Member) bool { return m.VM == vm })
	if i < 0 {
		return ""
	}
	return s.members[i].DataCentre
}

// goOn asks the next keeper; where none is left and none owes an answer, there is no permit.
func (s *State) goOn(now time.Time, w *want) {
	k := s.known[w.upstream]
	if !k.limit.Declared { // it has ended meanwhile
		s.decide(w, Decide{ID: w.id, Granted: true})
		return
	}
	for len(w.left) > 0 {
		vm := w.left[0]
		w.left = w.left[1:]
		if vm != s.self {
			s.ask(now, w, k, vm)
			return
		}
		b := s.bucketOf(w.upstream, k)
		if b.take(now, k.rate()) {
			s.decide(w, Decide{ID: w.id, Granted: true})
			return
		}
		k.refuse(s.self, now.Add(b.next(now, k.rate())))
		w.tell(b.comeBack(now, k.rate()))
	}
	w.nextAt = time.Time{}
	if len(w.open) == 0 {
		s.refuse(now, w)
	}
}

// ask asks a keeper, and the next one soon after it where there is one.
func (s *State) ask(now time.Time, w *want, k *known, vm vaneyoke.VMID) {
	patience := s.patience(vm)
	s.question(now, &question{want: w.id, upstream: w.upstream, to: vm, at: now, endAt: now.Add(patience)}, k, false)
	w.open = append(w.open, s.number)
	w.nextAt = time.Time{}
	if len(w.left) > 0 {
		w.nextAt = now.Add(min(max(askNext, s.took[s.centreOf(vm)]*3/2), patience))
	}
}

// question asks a keeper something, and remembers it until the answer has come or counts no more.
func (s *State) question(now time.Time, q *question, k *known, ping bool) {
	s.number++
	s.questions[s.number] = q
	s.do(Ask{To: q.to, Question: Question{Number: s.number, Notice: s.notice(now, q.upstream, k), Ping: ping}})
}

// close notes that an answer is waited for no more.
func (w *want) close(number uint64) {
	w.open = slices.DeleteFunc(w.open, func(n uint64) bool { return n == number })
}

// tell notes when a keeper would have a permit; the soonest counts.
func (w *want) tell(turn time.Duration) {
	if w.turn == 0 || turn < w.turn {
		w.turn = max(turn, time.Millisecond)
	}
}

func (k *known) refuse(vm vaneyoke.VMID, until time.Time) {
	if k.refused == nil {
		k.refused = map[vaneyoke.VMID]time.Time{}
	}
	k.refused[vm] = until
}

// replied takes in a keeper's answer.
func (s *State) replied(now time.Time, ev Replied) {
	q, ok := s.questions[ev.Answer.Number]
	if !ok || q.to != ev.From {
		return
	}
	delete(s.questions, ev.Answer.Number)
	s.onTime(q.to, now.Sub(q.at))
	if ev.Answer.Notice.Upstream == q.upstream {
		s.take(now, ev.Answer.Notice, ev.From)
	}
	k := s.known[q.upstream]
	if k == nil || q.want == 0 {
		return
	}
	next := bounded(ev.Answer.NextMs)
	if !ev.Answer.Granted {
		k.refuse(q.to, now.Add(next))
	}
	lasts := now.Sub(q.at) < permitLasts // else the node may have stood still meanwhile, and the keeper gone on
	i := slices.IndexFunc(s.wants, func(w *want) bool { return w.id == q.want })
	switch {
	case i < 0 && ev.Answer.Granted && lasts:
		k.spare++
		k.kept = q.at.Add(permitLasts)
	case i < 0:
	case ev.Answer.Granted && lasts:
		s.decide(s.wants[i], Decide{ID: q.want, Granted: true})
	default:
		w := s.wants[i]
		w.close(ev.Answer.Number)
		if !ev.Answer.Granted {
			w.tell(bounded(ev.Answer.TurnMs))
		}
		s.goOn(now, w)
	}
}

// bounded returns a time that another node told.
func bounded(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), longestTurn.Milliseconds())) * time.Millisecond
}

// refuse tells that there is no permit, and when there may be one.
func (s *State) refuse(now time.Time, w *want) {
	next := longestTurn
	k := s.known[w.upstream]
	for _, vm := range s.keepersOf(w.upstream, k) {
		next = min(next, max(latest(k.refused[vm], s.paceOf(vm).silent).Sub(now), shortestWait))
	}
	if len(k.keepers) == 0 {
		next = notKeeper
	}
	s.decide(w, Decide{ID: w.id, Next: next, Turn: max(w.turn, next)})
}

func (s *State) decide(w *want, d Decide) {
	s.wants = slices.DeleteFunc(s.wants, func(other *want) bool { return other == w })
	s.do(d)
}

// seek asks further keepers where the last one has not answered, and goes on without the answers that did not come in time.
func (s *State) seek(now time.Time) {
	for number, q := range s.questions {
		switch {
		case now.Sub(q.at) >= permitLasts:
			delete(s.questions, number)
			s.miss(now, number, q)
		case !now.Before(q.endAt):
			s.miss(now, number, q)
		}
	}
	for _, w := range slices.Clone(s.wants) {
		switch {
		case s.known[w.upstream] == nil:
			s.decide(w, Decide{ID: w.id, Granted: true})
		case len(w.open) == 0 || (!w.nextAt.IsZero() && !now.Before(w.nextAt)):
			s.goOn(now, w)
		}
	}
}
