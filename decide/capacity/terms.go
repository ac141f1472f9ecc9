package capacity

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Terms say how many upstreams of a service may be ordered, and what they cost.
type Terms struct {
	Service     vaneyoke.ServiceID
	Least, Most int                               // upstreams in a data centre, of both kinds together
	Boot        time.Duration                     // until a new upstream serves
	Prices      map[vaneyoke.DataCentreID]float64 // of a second of an upstream
	Preemptible float64                           // share of its price that an upstream costs which may be taken away; 0 where there are none
	Slots       int                               // requests that an upstream runs at once; 0 where it is not known
	Memory      vaneyoke.Tokens                   // that fit into an upstream; 0 where it is not known
}

// Load is what requests took of a service's upstreams; figures of several nodes add up.
type Load struct {
	Begun   int           `json:"begun"`   // requests that were answered with a first piece
	Reading time.Duration `json:"reading"` // total time that they took for it
	Tokens  int           `json:"tokens"`  // of their prompts
	Vain    int           `json:"vain"`    // tokens of prompts whose runs were lost before
	Running time.Duration `json:"running"` // total time that requests took after it
	Held    float64       `json:"held"`    // tokens in memory, times seconds
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Begun: l.Begun + other.Begun, Reading: l.Reading + other.Reading, Tokens: l.Tokens + other.Tokens, Vain: l.Vain + other.Vain,
		Running: l.Running + other.Running, Held: l.Held + other.Held,
	}
}

const (
	mostTold   = 1_000_000 // requests, and seconds that they took, of a load
	mostTokens = 1e12      // of a load
)

// Sound reports whether a node may have told the load.
func (l Load) Sound() bool {
	return l.Begun >= 0 && l.Begun <= mostTold && within(l.Reading) && within(l.Running) &&
		l.Tokens >= 0 && l.Tokens <= mostTokens && l.Vain >= 0 && l.Vain <= mostTokens && l.Held >= 0 && l.Held <= mostTokens*mostTold
}

func within(d time.Duration) bool { return d >= 0 && d <= mostTold*time.Second }

// Sound reports whether upstreams can be ordered on the terms.
func (t *Terms) Sound() bool {
	for _, price := range t.Prices {
		if !(price > 0) || math.IsInf(price, 1) {
			return false
		}
	}
	return t.Service != "" && t.Least >= 0 && t.Most >= max(t.Least, 1) && t.Boot >= 0 && t.Boot <= time.Hour && t.Preemptible >= 0 && t.Slots >= 0 && t.Memory >= 0
}

// Pool is a kind of a service's upstreams in a data centre; each has a number that is ordered.
type Pool struct {
	DataCentre  vaneyoke.DataCentreID
	Preemptible bool // whether they may be taken away
}

// Shares of what an upstream can do that are planned to be used at the peak of the last while. Prompts are read one after the other and make
// the others wait, so that their share is the lowest.
const (
	readShare = 0.5
	runShare  = 0.6
	holdShare = 0.65
)

// upstreams returns how many upstreams serve a load that came in a while, where reading takes so long for each token at the most: what is beyond it is waiting.
func (t *Terms) upstreams(l Load, during time.Duration, perToken float64) float64 {
	seconds := during.Seconds()
	reading := l.Reading.Seconds()
	if perToken > 0 {
		reading = min(reading, float64(l.Tokens)*perToken) + float64(l.Vain)*perToken
	}
	need := reading / seconds / readShare
	if t.Slots > 0 {
		need = max(need, (reading+l.Running.Seconds())/seconds/(float64(t.Slots)*runShare))
	}
	if t.Memory > 0 {
		need = max(need, l.Held/seconds/(float64(t.Memory)*holdShare))
	}
	return need
}
