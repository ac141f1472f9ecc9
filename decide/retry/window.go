package retry

import "time"

// windowSlots is the number of slots that a window is divided into.
const windowSlots = 20

// slidingWindow counts events within a window of time, in slots: those of the window and the one in progress.
type slidingWindow struct {
	length  time.Duration
	slots   [windowSlots + 1]float64 // ring of counts, indexed by slot number
	start   time.Time                // of slot 0; slot numbers follow from the monotonic time since then
	current int64                    // number of the slot in progress
}

// add counts an event at now.
func (w *slidingWindow) add(now time.Time) {
	w.advance(now)
	w.slots[w.current%int64(len(w.slots))]++
}

// sum returns the count over the last windowSlots complete slots and the one in progress: the window plus up to one slot.
func (w *slidingWindow) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, n := range w.slots {
		total += n
	}
	return total
}

// advance clears the slots that have begun since the last call.
func (w *slidingWindow) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	current := int64(now.Sub(w.start) / (w.length / windowSlots))
	for ; w.current < current; w.current++ {
		if current-w.current > int64(len(w.slots)) {
			w.current = current - int64(len(w.slots))
		}
		w.slots[(w.current+1)%int64(len(w.slots))] = 0
	}
}

// removeLatest removes the latest event from the count, if there is one.
func (w *slidingWindow) removeLatest(now time.Time) {
	w.advance(now)
	size := int64(len(w.slots))
	for slot := w.current; slot > w.current-size && slot >= 0; slot-- {
		if w.slots[slot%size] > 0 {
			w.slots[slot%size]--
			return
		}
	}
}
