package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines     = 4096        // queued lines; further ones are dropped
	maxLineBytes       = 4 << 10     // longer lines are truncated
	lostReportInterval = time.Second // minimum time between two reports of lost lines
	lostReportFormat   = "time=%q level=warning msg=log_lines_lost count=%d\n"
)

// AsyncWriter passes lines to another writer in the background. If that writer stalls, lines are dropped and Write never blocks.
type AsyncWriter struct {
	out        io.Writer
	lines      chan []byte
	unreported atomic.Int64
	lost       atomic.Int64
	done       chan struct{}
	once       sync.Once
}

// NewAsyncWriter returns a writer that passes lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full; it never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	kept := line[:min(len(line), maxLineBytes)]
	copied := append(make([]byte, 0, len(kept)+1), kept...)
	if len(kept) < len(line) {
		copied = append(copied, '\n')
	}
	select {
	case w.lines <- copied:
	default:
		w.unreported.Add(1)
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines dropped so far.
func (w *AsyncWriter) Lost() int64 { return w.lost.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	lastReport := time.Time{}
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.out.Write(line)
		if now := time.Now(); w.unreported.Load() > 0 && now.Sub(lastReport) >= lostReportInterval {
			lastReport = now
			_, _ = fmt.Fprintf(w.out, lostReportFormat, now.UTC().Format(timeFormat), w.unreported.Swap(0))
		}
	}
}

// Close writes out the queued lines, waiting at most the given timeout; later lines are lost.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.once.Do(func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case w.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-w.done:
		case <-timer.C:
		}
	})
}
