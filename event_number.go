package vaneyoke

import "strconv"

// EventNumber is the number of an event within its stream, as its upstream states it; the zero value is no number.
type EventNumber struct {
	value uint64
	isSet bool
}

// ParseEventNumber returns the number that an event id states; ok is false if it states none.
func ParseEventNumber(id string) (number EventNumber, ok bool) {
	value, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return EventNumber{}, false
	}
	return EventNumber{value: value, isSet: true}, true
}

// IsSet reports whether n is a number.
func (n EventNumber) IsSet() bool { return n.isSet }

// Distance returns by how much n is higher than an earlier number; ok is false if it is not higher, or either is no number.
func (n EventNumber) Distance(earlier EventNumber) (distance uint64, ok bool) {
	if !n.isSet || !earlier.isSet || n.value <= earlier.value {
		return 0, false
	}
	return n.value - earlier.value, true
}

// String returns the number in decimal digits, "" if there is none.
func (n EventNumber) String() string {
	if !n.isSet {
		return ""
	}
	return strconv.FormatUint(n.value, 10)
}
