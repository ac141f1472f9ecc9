package engine

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

const headerRetryAfter = "Retry-After"

// IsPushbackStatus reports whether an upstream with this status accepts no requests for now.
func IsPushbackStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// Pushback returns the Retry-After time of a response with a pushback status, or 0 if it has none; ok is false if the value
// is not a valid time. The value is in seconds and may be fractional; one beyond the range of time.Duration is clamped.
func Pushback(status int, header http.Header) (pushback time.Duration, ok bool) {
	text := header.Get(headerRetryAfter)
	if text == "" || !IsPushbackStatus(status) {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
