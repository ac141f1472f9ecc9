package vaneyoke

import "strconv"

// PerSecond is a rate in requests per second.
type PerSecond float64

// String returns the rate as a decimal number.
func (r PerSecond) String() string { return strconv.FormatFloat(float64(r), 'f', -1, 64) }

// Limit is the request rate that an upstream accepts from all nodes together; the zero value means that the upstream declares no limit.
type Limit struct {
	Declared bool      `json:"named"`
	Rate     PerSecond `json:"rate"`
}
