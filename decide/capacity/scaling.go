package capacity

import (
	"math"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// ScalingConfig says how many upstreams of a service may be ordered and what they cost.
type ScalingConfig struct {
	Service               vaneyoke.ServiceID
	Min, Max              int                               // number of upstreams in a data centre, preemptible and on-demand together
	BootTime              time.Duration                     // time until a new upstream serves requests
	Prices                map[vaneyoke.DataCentreID]float64 // price of an on-demand upstream per second
	PreemptiblePriceRatio float64                           // price of a preemptible upstream divided by that of an on-demand one; 0 if there are none
	Slots                 int                               // requests that an upstream runs concurrently; 0 if unknown
	KVCapacity            vaneyoke.Tokens                   // tokens that fit into an upstream's KV cache; 0 if unknown
}

// Load is the work of a service's upstreams for requests; the loads of several nodes can be added.
type Load struct {
	FirstChunks    int           `json:"begun"`   // requests whose first chunk arrived
	Prefill        time.Duration `json:"reading"` // total time of these requests until their first chunk
	PromptTokens   int           `json:"tokens"`  // of the prompts of these requests
	LostTokens     int           `json:"vain"`    // of prompts whose runs were lost before the first chunk
	Decode         time.Duration `json:"running"` // total time of requests after their first chunk
	KVTokenSeconds float64       `json:"held"`    // tokens in the KV cache, times seconds
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		FirstChunks: l.FirstChunks + other.FirstChunks, Prefill: l.Prefill + other.Prefill, PromptTokens: l.PromptTokens + other.PromptTokens, LostTokens: l.LostTokens + other.LostTokens,
		Decode: l.Decode + other.Decode, KVTokenSeconds: l.KVTokenSeconds + other.KVTokenSeconds,
	}
}

const (
	maxLoadRequests = 1_000_000 // requests in a load, and seconds that they took
	maxLoadTokens   = 1e12      // tokens in a load
)

// Valid reports whether the load is within the bounds of what a node can report.
func (l Load) Valid() bool {
	return l.FirstChunks >= 0 && l.FirstChunks <= maxLoadRequests && validDuration(l.Prefill) && validDuration(l.Decode) &&
		l.PromptTokens >= 0 && l.PromptTokens <= maxLoadTokens && l.LostTokens >= 0 && l.LostTokens <= maxLoadTokens && l.KVTokenSeconds >= 0 && l.KVTokenSeconds <= maxLoadTokens*maxLoadRequests
}

// validDuration reports whether a total duration is within the bounds of a load.
func validDuration(d time.Duration) bool { return d >= 0 && d <= maxLoadRequests*time.Second }

// Valid reports whether upstreams can be ordered with the configuration.
func (c *ScalingConfig) Valid() bool {
	for _, price := range c.Prices {
		if !(price > 0) || math.IsInf(price, 1) {
			return false
		}
	}
	return c.Service != "" && c.Min >= 0 && c.Max >= max(c.Min, 1) && c.BootTime >= 0 && c.BootTime <= time.Hour && c.PreemptiblePriceRatio >= 0 && c.Slots >= 0 && c.KVCapacity >= 0
}

// Pool identifies the preemptible or the on-demand upstreams of a service in a data centre, whose number is ordered together.
type Pool struct {
	DataCentre  vaneyoke.DataCentreID
	Preemptible bool // whether the provider may reclaim the upstreams
}

// Target utilizations of an upstream at the recent peak of the load. Prefill has the lowest one because prompts are processed one after the
// other, so that each makes the others wait.
const (
	prefillUtilization = 0.5
	slotUtilization    = 0.6
	kvUtilization      = 0.65
)

// upstreamsNeeded returns how many upstreams serve a load that arrived during a period. Prefill time above perToken seconds per token, if
// known, counts as queueing and is ignored.
func (c *ScalingConfig) upstreamsNeeded(l Load, during time.Duration, perToken float64) float64 {
	seconds := during.Seconds()
	prefill := l.Prefill.Seconds()
	if perToken > 0 {
		prefill = min(prefill, float64(l.PromptTokens)*perToken) + float64(l.LostTokens)*perToken
	}
	need := prefill / seconds / prefillUtilization
	if c.Slots > 0 {
		need = max(need, (prefill+l.Decode.Seconds())/seconds/(float64(c.Slots)*slotUtilization))
	}
	if c.KVCapacity > 0 {
		need = max(need, l.KVTokenSeconds/seconds/(float64(c.KVCapacity)*kvUtilization))
	}
	return need
}
