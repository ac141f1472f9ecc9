package node

import (
	"sync"
	"time"
)

// maxLinesPerSecond is how many lines of one kind are logged in a second.
const maxLinesPerSecond = 5

// lineLimit bounds the log lines of one kind; the zero value is ready for use.
type lineLimit struct {
	mu      sync.Mutex
	second  time.Time // start of the second in which lines are counted
	lines   int
	leftOut int // since the last line
}

// next reports whether a line may be written now, and how many have been left out before it.
func (l *lineLimit) next(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= maxLinesPerSecond {
		l.leftOut++
		return 0, false
	}
	leftOut, l.leftOut = l.leftOut, 0
	l.lines++
	return leftOut, true
}
