package capacity

import "time"

const (
	slot     = time.Second
	smooth   = 3               // slots over which a load is averaged
	lookBack = 30              // slots whose highest load counts
	knownAt  = 5 * time.Second // of requests before which the load counts for nothing
	knownOf  = 20              // requests before which it does not
	ratioOf  = 10              // requests from which the time that reading takes is learnt
	waitMost = 1.15            // times the shortest time for a token beyond which prompts are taken to have waited
	forget   = 1.002           // times by which the shortest time for a token grows each slot
	covers   = 0.3             // share of the nodes that must have told their load in a while for it to count
	coversIt = 0.8             // share from which it may lower the plan
)

// load is what the nodes told in a slot.
type load struct {
	Load
	told float64 // share of the nodes that told, on average over the slot
}

func (l load) add(other load) load { return load{Load: l.Add(other.Load), told: l.told + other.told} }

// demand follows the load of a service.
type demand struct {
	slots    [lookBack + smooth]load
	at       time.Time // start of the newest slot; zero before the first load
	since    time.Time // of the first request
	begun    int
	perToken float64 // shortest time in seconds that reading took for a token, averaged over a while; 0 while it is not known
}

// add takes in a load, which a share of the nodes told for a part of a slot.
func (d *demand) add(now time.Time, l Load, told float64) {
	d.roll(now)
	d.slots[0] = d.slots[0].add(load{Load: l, told: told})
	if l.Begun > 0 && d.begun == 0 {
		d.since = now
	}
	d.begun += l.Begun
}

// roll begins a new slot for each that has passed.
func (d *demand) roll(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	for n := 0; now.Sub(d.at) >= slot; n++ {
		if n == len(d.slots) {
			d.at = now
			return
		}
		copy(d.slots[1:], d.slots[:len(d.slots)-1])
		d.slots[0] = load{}
		d.at = d.at.Add(slot)
		d.learn()
	}
}

// learn takes in how long reading took of late. The shortest counts, since what is above it is waiting: otherwise a service that is short of upstreams would seem to need
// ever more of them.
func (d *demand) learn() {
	d.perToken *= forget
	l := d.sum(1)
	if l.Begun < ratioOf || l.Tokens == 0 {
		return
	}
	ratio := l.Reading.Seconds() / float64(l.Tokens)
	if d.perToken == 0 || ratio < d.perToken {
		d.perToken = ratio
	}
}

// sum returns the load of some slots from one on.
func (d *demand) sum(first int) (sum load) {
	for _, l := range d.slots[first : first+smooth] {
		sum = sum.add(l)
	}
	return sum
}

// known reports whether enough requests came to go by.
func (d *demand) known(now time.Time) bool {
	return d.begun >= knownOf && now.Sub(d.since) >= knownAt
}

// need returns how many upstreams serve the highest load of the last while, carried on from the nodes that told theirs to all; the slot under way is not whole. whole says
// whether hardly any node's was missing lately.
func (d *demand) need(now time.Time, t *Terms) (most float64, whole bool) {
	d.roll(now)
	for first := 1; first+smooth <= len(d.slots); first++ {
		sum := d.sum(first)
		told := sum.told / smooth
		if first == 1 {
			whole = told >= coversIt
		}
		if told >= covers {
			most = max(most, t.upstreams(sum.Load, smooth*slot, waitMost*d.perToken)/min(told, 1))
		}
	}
	return most, whole
}
