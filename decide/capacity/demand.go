package capacity

import "time"

const (
	slot     = time.Second
	smooth   = 3               // slots over which a load is averaged
	lookBack = 30              // slots whose highest load counts
	knownAt  = 5 * time.Second // of requests before which the load counts for nothing
	knownOf  = 20              // requests before which it does not
)

// demand follows the load of a service.
type demand struct {
	slots [lookBack + smooth]Load
	at    time.Time // start of the newest slot; zero before the first load
	since time.Time // of the first request
	begun int
}

// add takes in a load.
func (d *demand) add(now time.Time, l Load) {
	d.roll(now)
	d.slots[0] = d.slots[0].Add(l)
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
		d.slots[0] = Load{}
		d.at = d.at.Add(slot)
	}
}

// known reports whether enough requests came to go by.
func (d *demand) known(now time.Time) bool {
	return d.begun >= knownOf && now.Sub(d.since) >= knownAt
}

// need returns how many upstreams serve the highest load of the last while; the slot under way is not whole.
func (d *demand) need(now time.Time, t *Terms) (most float64) {
	d.roll(now)
	for first := 1; first+smooth <= len(d.slots); first++ {
		var sum Load
		for _, l := range d.slots[first : first+smooth] {
			sum = sum.Add(l)
		}
		most = max(most, t.upstreams(sum, smooth*slot))
	}
	return most
}
