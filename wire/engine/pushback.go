package engine

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

const headerRetryAfter = "Retry-After"

// TurnsAway reports whether a status says that an upstream takes nothing now.
func IsPushbackStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// Pushback returns for how long an upstream wants nothing more by an answer that turns a request away, 0 where it does not say; ok is false where
// what it says is no time. It is in seconds, of which there may be a fraction; one that no clock counts to is the longest.
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
