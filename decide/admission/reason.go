package admission

import "github.com/vaneyoke/vaneyoke/internal/names"

// Reason is why a request was rejected.
type Reason int

// The reasons for a rejection.
const (
	ReasonHopeless  Reason = iota + 1 // it cannot start before its caller's deadline
	ReasonQueueFull                   // the queue has reached its bound, and its rejection costs the least
	ReasonShare                       // it cannot start in time behind others, since its workspace has more than its share of the fleet
	ReasonCapped                      // an operator has capped its workspace or route
	ReasonEarly                       // it cannot start in time behind others, since its caller came back before the time that it was told
)

// String returns the reason as written to logs and metrics.
func (r Reason) String() string {
	return names.Of(r, "none", "hopeless", "queue_full", "share", "capped", "early")
}
