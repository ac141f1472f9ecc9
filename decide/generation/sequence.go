package generation

import "github.com/vaneyoke/vaneyoke"

// Splice is how the first event of an attempt that goes on with a stream relates to the last event before it.
type Splice int

// The kinds of splices.
const (
	SpliceFollows  Splice = iota + 1 // the number rises
	SpliceRepeated                   // the number does not rise: the attempt has begun anew, or repeats events
	SpliceGap                        // the number rises by more than from event to event of this stream
)

// String returns the kind as it is logged.
func (s Splice) String() string {
	switch s {
	case SpliceFollows:
		return "follows"
	case SpliceRepeated:
		return "repeated"
	default:
		return "gap"
	}
}

// minRegularSteps is the number of equal steps from which a stream's events are taken to be numbered regularly.
const minRegularSteps = 3

// sequence is what the accepted events of a stream show about their numbers.
type sequence struct {
	last        vaneyoke.EventNumber // of the last accepted event, or of the last one that the caller had
	step        uint64               // between the numbers of two events
	steps       int                  // how often step was seen
	isIrregular bool                 // whether other steps were seen, too
}

// splice returns how the first event of an attempt relates to the last event before it.
func (q *sequence) splice(number vaneyoke.EventNumber) Splice {
	distance, rises := number.Distance(q.last)
	switch {
	case !rises:
		return SpliceRepeated
	case q.steps >= minRegularSteps && !q.isIrregular && distance > q.step:
		return SpliceGap
	default:
		return SpliceFollows
	}
}

// add records an accepted event.
func (q *sequence) add(number vaneyoke.EventNumber) {
	if !number.IsSet() {
		return
	}
	distance, rises := number.Distance(q.last)
	q.last = number
	if !rises {
		return
	}
	if q.steps == 0 {
		q.step = distance
	}
	q.isIrregular = q.isIrregular || distance != q.step
	q.steps++
}

// checkSplice reports how the first event of a run relates to the last accepted one, and returns whether it can follow it. Within a run events only have to
// rise, since what a run sends is what its upstream made.
func (s *State) checkSplice(r *run, number vaneyoke.EventNumber) bool {
	if !number.IsSet() || !s.events.last.IsSet() {
		return true
	}
	splice := s.events.splice(number)
	s.emit(Spliced{Attempt: r.attempt, Splice: splice, After: s.events.last, Number: number})
	return splice == SpliceFollows
}
