package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/telemetry"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestWriteDoesNotBlockOnStalledOutput writes far more lines than the queue holds while the output is blocked. On the fake clock of
// synctest a Write that waited for the output would never return.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 20_000
		out := &blockingWriter{release: make(chan struct{})}
		w := telemetry.NewAsyncWriter(out)
		start := time.Now()
		for i := range lines {
			n, err := fmt.Fprintf(w, "line %d\n", i)
			must.NoError(t, err)
			must.Positive(t, n)
		}
		must.EqOp(t, 0, time.Since(start))
		synctest.Wait()
		must.Between(t, lines-4098, w.Lost(), lines-4096)
		close(out.release)
		w.Close(time.Minute)
		text := out.written.String()
		must.StrHasPrefix(t, "line 0\n", text)
		must.StrContains(t, text, fmt.Sprintf("msg=log_lines_lost count=%d\n", w.Lost()))
		must.EqOp(t, int64(lines)-w.Lost()+1, int64(strings.Count(text, "\n")))
	})
}

func TestCloseTimesOutOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		w := telemetry.NewAsyncWriter(out)
		_, _ = w.Write([]byte("line\n"))
		start := time.Now()
		w.Close(time.Second)
		must.EqOp(t, time.Second, time.Since(start))
		close(out.release)
	})
}

func TestLongLinesAreTruncated(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	w := telemetry.NewAsyncWriter(out)
	_, _ = w.Write([]byte(strings.Repeat("x", 10_000) + "\n"))
	w.Close(20 * time.Second)
	must.EqOp(t, strings.Repeat("x", 4<<10)+"\n", out.written.String())
}
