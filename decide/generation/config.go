package generation

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Config holds the settings of one generation. They do not change while it runs, except that Suspended moves the deadline.
type Config struct {
	MaxTokens        vaneyoke.Tokens // 0 for no limit
	Stop             Stop
	Repeatable       bool              // false if the request must not run a second time
	Recovery         vaneyoke.Recovery // how to recover from a silent attempt
	MaxWait          time.Duration     // longest time without a new token before the generation fails
	MaxLosses        int               // consecutive losses, without a token in between, before the generation fails
	Deadline         time.Time         // when the caller stops waiting; zero for never
	MaxPlacementWait time.Duration     // longest wait for an upstream while no run can have started; 0 for MaxWait
	MaxAttempts      int               // runs that may be sent to upstreams; 0 for no limit
	// ProbeEvery is the interval of liveness probes of an upstream until its first batch arrives; 0 for no probes.
	ProbeEvery time.Duration
	// MaxRunQueries is how many times an upstream whose first batch is overdue is asked for the state of the run; 0 for never. While
	// it reports the run as queued or running, each query extends the wait by the initial limit. If MaxRunQueries is not 0, an
	// upstream that falls silent between batches is queried every time before the run is given up.
	MaxRunQueries     int
	EventIntervalGoal time.Duration // target interval between chunks; 0 for none
	// KeepLastAttempt says that silence alone never ends the last attempt that MaxAttempts allows, and ends the one before it only if
	// its upstream reports that it is not working on the run: there may be no other upstream left to continue the answer.
	KeepLastAttempt bool
	// Opaque says that the chunks are not token ids: an attempt continues from the number of the last chunk alone, and no engine
	// can send a run's stream a second time.
	Opaque bool
	// ResumeAfter is the number of the last event of the stream that the caller has from before.
	ResumeAfter vaneyoke.EventNumber
	// UsefulOnly says that no further attempt, continuation or replica is begun that is not expected to end before the deadline.
	UsefulOnly bool
	Silence    Silence // when a silent attempt becomes suspect
	Backoff    Backoff // delay before the attempt that follows the second and later consecutive losses
}

// Silence holds the thresholds of the failure detector, which suspects attempts that send nothing.
type Silence struct {
	FirstToken  time.Duration // silence limit before the first token; bounds the limit that follows from an expected TTFT, too
	Floor       time.Duration // lower bound of the silence limit between tokens
	Ceiling     time.Duration // upper bound of the silence limit between tokens, unless MinMeanGaps exceeds it
	Deviations  float64       // silence limit between tokens: the mean gap plus this many mean deviations
	MinMeanGaps float64       // lower bound of the silence limit in mean gaps, even above Ceiling; 0 for none
	Patience    float64       // factor on the silence limit of frugal, non-repeatable and already suspect attempts
}

// Backoff holds the bounds of the exponential backoff between attempts.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// DefaultConfig returns the configuration that nodes adapt to their settings.
func DefaultConfig() Config {
	return Config{
		Repeatable: true,
		Recovery:   vaneyoke.RecoverFast,
		MaxWait:    30 * time.Second,
		MaxLosses:  8,
		Silence: Silence{
			FirstToken: 3 * time.Second,
			Floor:      300 * time.Millisecond,
			Ceiling:    2 * time.Second,
			Deviations: 8,
			Patience:   4,
		},
		Backoff: Backoff{Base: 25 * time.Millisecond, Cap: time.Second},
	}
}
