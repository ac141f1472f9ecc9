package measure

import (
	"math"
	"time"
)

// Day describes the load and the unavoidable losses of one day of the users' benchmark.
type Day struct {
	Generations          int           // requested
	Calls                int           // requested
	Duration             time.Duration // of the traffic
	GenerationWeight     float64       // value of a generation relative to a call
	PrefillTime          time.Duration // time to process a prompt on an idle engine
	DecodeTime           time.Duration // time to generate an answer on an idle engine, without its prompt
	PowerOff             bool          // whether the VMs lose power in the outage at the end; otherwise only their processes are killed
	EndsInOutage         bool          // whether the day ends with such an outage
	OutageShare          float64       // share of the VMs that the outage hits; 0 means all
	CallFailureRate      float64       // share of the calls that fail at every attempt that the route allows
	WorstKindFailureRate float64       // the same for the kind of call that fails most; 0 if it equals CallFailureRate
	Cost                 float64       // score deducted for machines, memory, processor time and a replica of each generation
}

// Weights holds the weights of the parts of a day's score.
type Weights struct {
	All, WorstWindows, WorstKind float64
	Availability                 float64 // of the share of requests that are served, counted in nines, up to three
}

// maxNines is the number of nines that gives the full availability score.
const maxNines = 3

// windowLength is the length of the windows of which the two worst are scored.
const windowLength = 2 * time.Second

// UpperBound returns a score that no policy can exceed, if generations arrive evenly and each takes as long as on an idle engine.
// Requests in flight are lost when all VMs lose power, because callers notice only after an answer has lost its value. When only
// the processes are killed, answers that have started are lost, because no node restarts within the longest allowed gap of an
// answer; prompts in progress can be processed again in time. Nothing else is lost, and nothing but the cost is deducted.
func (d Day) UpperBound(w Weights) float64 {
	lostTime := time.Duration(0)
	if d.EndsInOutage {
		lostTime = d.DecodeTime
	}
	if d.PowerOff {
		lostTime += d.PrefillTime
	}
	share := d.OutageShare
	if share == 0 {
		share = 1
	}
	lost := share * lostTime.Seconds() / d.Duration.Seconds()
	generations := 1 - lost
	calls := 1 - d.CallFailureRate
	generationValue := float64(d.Generations) * d.GenerationWeight
	totalValue := generationValue + float64(d.Calls)
	served := (generationValue*generations + float64(d.Calls)*calls) / totalValue
	servedInWorstWindows := (generationValue*(1-share*lostInWorstWindows(lostTime)) + float64(d.Calls)*calls) / totalValue
	servedOfWorstKind := 1 - max(d.WorstKindFailureRate, d.CallFailureRate)
	return w.All*served + w.WorstWindows*servedInWorstWindows + w.WorstKind*min(generations, servedOfWorstKind) + w.Availability*d.availability(lost) - d.Cost
}

// availability returns the number of nines of the served share, divided by maxNines and at most 1.
func (d Day) availability(lost float64) float64 {
	unserved := (float64(d.Generations)*lost + float64(d.Calls)*d.CallFailureRate) / float64(d.Generations+d.Calls)
	if unserved <= 0 {
		return 1
	}
	return min(-math.Log10(unserved)/maxNines, 1)
}

// lostInWorstWindows returns the share of the generations in the two worst windows that is lost. It assumes the best possible
// position of the lost time: in the middle of three windows, if it is short enough.
func lostInWorstWindows(lostTime time.Duration) float64 {
	covered := lostTime.Seconds() / windowLength.Seconds()
	switch {
	case covered <= 1:
		return covered / 2
	case covered <= 3: // one full window, and half of the rest in the next
		return (1 + (covered-1)/2) / 2
	default:
		return 1
	}
}
