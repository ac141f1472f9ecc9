package pacing

import (
	"math/rand/v2"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	binWidth     = 100 * time.Millisecond
	binCount     = int(maxRetryAfter/binWidth) + 2
	maxCalendars = 64
	maxStepBack  = 10 // bins by which a caller's clock may lag behind that of the last one
)

// calendars holds the calendars of the services.
type calendars map[vaneyoke.ServiceID]*calendar

// calendar holds the prompt tokens that are expected to return to a service, by urgency and moment.
type calendar struct {
	origin time.Time
	first  int64 // number of the bin that now is in, counted from origin
	tokens [maxUrgency + 1][binCount]float64
}

// reserve books the return of a rejected request and returns the time until then.
func (c calendars) reserve(now time.Time, rng *rand.Rand, r Rejection, limit time.Duration) time.Duration {
	drain := r.Drain
	if !(drain > 0 && drain <= maxDrain) { // also if not a number
		drain = defaultDrain
	}
	urgency := min(max(r.Urgency, 0), maxUrgency)
	ahead := float64(max(r.Ahead, 0)) / drain
	seconds := min((MinRetryAfter.Seconds()+ahead)*(1+urgencyStretch*float64(urgency)), maxRetryAfter.Seconds())
	b := booking{
		urgency: urgency, tokens: float64(min(max(r.Prompt, minPrompt), maxPrompt)), capacity: drain * binWidth.Seconds(),
		earliest: time.Duration(seconds * float64(time.Second)), latest: limit,
	}
	return c.of(now, r.Service).book(now, rng, b)
}

// of returns the calendar of a service, advanced to now.
func (c calendars) of(now time.Time, service vaneyoke.ServiceID) *calendar {
	found := c[service]
	if found == nil {
		if len(c) >= maxCalendars {
			c.evict()
		}
		found = &calendar{origin: now}
		c[service] = found
	}
	found.advance(now)
	return found
}

// evict removes the calendar that has been unused for the longest time.
func (c calendars) evict() {
	var oldest vaneyoke.ServiceID
	var usedAt time.Time
	for service, entry := range c {
		if at := entry.startOf(entry.first); usedAt.IsZero() || at.Before(usedAt) {
			oldest, usedAt = service, at
		}
	}
	delete(c, oldest)
}

// advance drops the bins that have passed. After a long jump of the clock backwards it drops all.
func (c *calendar) advance(now time.Time) {
	at := int64(now.Sub(c.origin) / binWidth)
	if at < c.first-maxStepBack {
		*c = calendar{origin: now}
		return
	}
	at = max(at, c.first)
	for n := c.first; n < min(at, c.first+int64(binCount)); n++ {
		for u := range c.tokens {
			c.tokens[u][n%int64(binCount)] = 0
		}
	}
	c.first = at
}

func (c *calendar) startOf(n int64) time.Time { return c.origin.Add(time.Duration(n) * binWidth) }

// booking is a retry to be booked.
type booking struct {
	urgency          int
	tokens           float64
	capacity         float64 // tokens that drain during a bin
	earliest, latest time.Duration
}

// book reserves the first bins that are not full. If there are none before the latest moment, it reserves the least full one in the later half
// of the wait, so that even more retries than can be drained come evenly.
func (c *calendar) book(now time.Time, rng *rand.Rand, b booking) time.Duration {
	last := max(int((now.Add(b.latest).Sub(c.startOf(c.first)))/binWidth)-1, 0) // the last one that is over by then
	last = min(last, binCount-1)
	from := max(int((now.Add(b.earliest).Sub(c.startOf(c.first))+binWidth-1)/binWidth), 0)
	at := from
	for at <= last && c.load(at, b.urgency) >= b.capacity {
		at++
	}
	if at <= last {
		c.fill(at, b)
	} else {
		at = c.leastFull(rng, min(max(from, last/2), last-last/4), last, b.urgency)
		c.tokens[b.urgency][c.slot(at)] += b.tokens
	}
	jitter := time.Duration(rng.Int64N(int64(binWidth)))
	return c.startOf(c.first + int64(at)).Add(jitter).Sub(now)
}

// fill adds tokens to a bin and, once it is full, to the next ones.
func (c *calendar) fill(at int, b booking) {
	left := b.tokens
	for ; at < binCount && left > 0; at++ {
		added := min(left, max(b.capacity-c.load(at, b.urgency), 0))
		c.tokens[b.urgency][c.slot(at)] += added
		left -= added
	}
}

// leastFull returns the bin with the fewest tokens, a random one if there are several.
func (c *calendar) leastFull(rng *rand.Rand, from, to, urgency int) int {
	count := to - from + 1
	offset := rng.IntN(count)
	best := from + offset
	for i := range count {
		if at := from + (offset+i)%count; c.load(at, urgency) < c.load(best, urgency) {
			best = at
		}
	}
	return best
}

// load returns the tokens that are expected in a bin, at the given urgency or a higher one.
func (c *calendar) load(at, urgency int) float64 {
	sum := 0.0
	for u := range urgency + 1 {
		sum += c.tokens[u][c.slot(at)]
	}
	return sum
}

func (c *calendar) slot(at int) int { return int((c.first + int64(at)) % int64(binCount)) }
