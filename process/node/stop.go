package node

import (
	"context"
	"log"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/internal/pause"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

const (
	// exitReserve is the last part of the grace, which is left to the process's exit: it writes out the log, and the kernel ends its threads one
	// after the other, each when it gets a processor.
	exitReserve = 150 * time.Millisecond
	// traceCloseTimeout is how long the export of the last spans may take even if the exit is due.
	traceCloseTimeout = 50 * time.Millisecond
	// finalAnswerTimeout bounds the time for sending the final answers to interrupted requests.
	finalAnswerTimeout = 150 * time.Millisecond
	// minFinalTimeout is what remains of it, and for the last counts, if the node is late, as after a suspension.
	minFinalTimeout = 50 * time.Millisecond
	// interruptLeadPerStream is how much earlier streams are interrupted for each open stream, so that unary calls which are answered
	// just before the deadline are not cut off while streams are being ended: with the race detector, ending 120 streams took 35 to
	// 130 ms on eight busy cores, and 100 to 230 ms with 60 busy loops beside it.
	interruptLeadPerStream = 4 * time.Millisecond
	maxInterruptLead       = 500 * time.Millisecond
	// finalWriteBuffer is what the system may keep of each answer whose caller has not read it when streams are ended: an upstream has done its work.
	finalWriteBuffer = 4 << 20
)

// drainServer waits until a deadline for a server's requests to finish, and then ends the remaining ones with a final answer.
// While any request is open it accepts new ones as well, because their callers may not find another node; the server's handler
// must refuse those whose answer may come too late. It returns how many requests it interrupted.
//
// Streams are interrupted first, so that unary calls, which are due by the deadline, and refusals do not queue behind many streams.
func drainServer(ctx context.Context, server *serve.Server, r *relay.Relay, deadline time.Time) (interrupted int) {
	deadlineCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if settleBefore(ctx, server, deadline.Add(-maxInterruptLead)) && server.Shutdown(deadlineCtx) {
		return 0
	}
	lead := min(time.Duration(r.Streams())*interruptLeadPerStream, maxInterruptLead)
	if settleBefore(ctx, server, deadline.Add(-lead)) && server.Shutdown(deadlineCtx) {
		return 0
	}
	server.WidenWriteBuffers(finalWriteBuffer)
	interrupted = r.InterruptStreams()
	if server.WaitIdle(deadlineCtx) && server.Shutdown(deadlineCtx) {
		return interrupted
	}
	interrupted += r.Interrupt()
	finalCtx, cancelFinal := withFinalDeadline(ctx, deadline.Add(finalAnswerTimeout))
	defer cancelFinal()
	server.WaitIdle(finalCtx) // new callers are told to retry; a closed listener could not tell them
	server.Shutdown(finalCtx)
	return interrupted
}

// withFinalDeadline returns a context that ends when the stop has to end. If that is due, it ends a moment later; how late the node was before does not
// add to the stop otherwise.
func withFinalDeadline(ctx context.Context, ends time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, laterOf(ends, time.Now().Add(minFinalTimeout)))
}

// countFlusher forwards counts that the node still holds.
type countFlusher interface{ Flush(ctx context.Context) }

// flushCounts forwards the remaining counts shortly before the deadline of drained, and again once drained has ended because no request is open any
// more or the deadline has passed. It returns by ends, unless the node is late.
func flushCounts(ctx, drained context.Context, counts countFlusher, ends time.Time) {
	deadline, _ := drained.Deadline()
	if pause.For(drained, time.Until(deadline.Add(-countsLead))) {
		counts.Flush(drained)
		<-drained.Done()
	}
	ctx, cancel := withFinalDeadline(ctx, ends)
	defer cancel()
	counts.Flush(ctx)
}

// settleBefore waits until no request is open, and reports whether that happened before the deadline.
func settleBefore(ctx context.Context, server *serve.Server, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return server.WaitIdle(ctx)
}

// logCutOff logs each connection that is in the middle of a request when its server is closed, and returns their number.
func logCutOff(log logrus.FieldLogger, server *serve.Server, stopping time.Time) (cutOff int) {
	now := time.Now()
	for _, c := range server.Conns() {
		if !c.Phase.Busy() {
			continue
		}
		if c.Phase != serve.PhaseDiscarding { // its caller has been sent an answer
			cutOff++
		}
		log.WithFields(logrus.Fields{
			"request": c.Request, "phase": c.Phase, "age_ms": now.Sub(c.Since).Milliseconds(),
			"opened_ms": now.Sub(c.Opened).Milliseconds(), "stopping_ms": now.Sub(stopping).Milliseconds(),
		}).Warn("connection_cut_off")
	}
	return cutOff
}

// closeTracing exports the remaining spans, until the given time or at least for a moment: their reader may have stalled.
func closeTracing(ctx context.Context, tracing *telemetry.Tracing, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), laterOf(until, time.Now().Add(traceCloseTimeout)))
	defer cancel()
	return tracing.Close(ctx)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// logStopped logs how the node stopped, and returns an error if requests were interrupted or cut off. drained is when it had no requests any more.
func logStopped(log logrus.FieldLogger, stopping, drained time.Time, interrupted, cutOff int) error {
	log.WithFields(logrus.Fields{
		"interrupted": interrupted, "cut_off": cutOff, "drained_ms": drained.Sub(stopping).Milliseconds(), "ms": time.Since(stopping).Milliseconds(),
	}).Info("node_stopped")
	if interrupted+cutOff > 0 {
		return vaneyoke.Err(vaneyoke.CodeInterrupted, "%d requests were interrupted and %d cut off at the end of the grace", interrupted, cutOff)
	}
	return nil
}

// serverErrors returns a logger for the errors that package http reports, such as a connection that could not be accepted.
func serverErrors(logger logrus.FieldLogger) *log.Logger {
	return log.New(&errorLogger{logger: logger}, "", 0)
}

// errorLogger is an io.Writer that logs each text written to it as an event.
type errorLogger struct{ logger logrus.FieldLogger }

// Write logs a text as one event.
func (l *errorLogger) Write(text []byte) (int, error) {
	l.logger.WithField("error", strings.TrimSpace(string(text))).Error("server_error")
	return len(text), nil
}
