package vaneyoke

import "strconv"

// PerSecond is a rate in requests a second.
type PerSecond float64

// String returns the rate as a decimal number.
func (r PerSecond) String() string { return strconv.FormatFloat(float64(r), 'f', -1, 64) }

// Limit is how many requests an upstream takes from all nodes together; the zero value is that of one which names none.
type Limit struct {
	Declared bool      `json:"named"`
	Rate  PerSecond `json:"rate"`
}
