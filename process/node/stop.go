package node

import (
	"context"
	"log"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/api/serve"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

const (
	// lastAnswers is how long answers that end because the node does may take on the way out.
	lastAnswers = 150 * time.Millisecond
	// interruptEach is how much earlier streams are interrupted for each that is left, so that calls which are answered just in time are not cut
	// while streams still end: 120 took 35 to 130 ms on eight busy cores, and 100 to 230 ms beside 60 busy loops there, with the race detector.
	interruptEach = 4 * time.Millisecond
	interruptMost = 500 * time.Millisecond
)

// finish lets the requests of a server finish until a time, and then gives those that are left a last answer. While any is
// under way new ones are taken, too, since their callers may find no other node; the server's handler has to refuse those
// whose answer may come too late. It returns how many requests it interrupted.
//
// Streams go first, so that calls, which are due by then, and refusals do not wait behind many of them.
func finish(ctx context.Context, server *serve.Server, r *relay.Relay, until time.Time) (interrupted int) {
	inTime, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if settleBefore(ctx, server, until.Add(-interruptMost)) && server.Shutdown(inTime) {
		return 0
	}
	early := min(time.Duration(r.Streams())*interruptEach, interruptMost)
	if settleBefore(ctx, server, until.Add(-early)) && server.Shutdown(inTime) {
		return 0
	}
	interrupted = r.InterruptStreams()
	if server.WaitIdle(inTime) && server.Shutdown(inTime) {
		return interrupted
	}
	interrupted += r.Interrupt()
	late, cancelLate := context.WithTimeout(ctx, lastAnswers) // from now, since the process may have been frozen meanwhile
	defer cancelLate()
	server.WaitIdle(late) // callers that come meanwhile are told to come back, which a closed address cannot
	server.Shutdown(late)
	return interrupted
}

// settleBefore waits until no request is under way, and reports whether that came before a time.
func settleBefore(ctx context.Context, server *serve.Server, at time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	return server.WaitIdle(ctx)
}

// logCutOff tells of each connection that is in the middle of a request when its server is closed, and returns their number.
func logCutOff(log logrus.FieldLogger, server *serve.Server, stopping time.Time) (cut int) {
	now := time.Now()
	for _, c := range server.Conns() {
		if !c.Phase.Busy() {
			continue
		}
		cut++
		log.WithFields(logrus.Fields{
			"request": c.Request, "phase": c.Phase, "age_ms": now.Sub(c.Since).Milliseconds(),
			"opened_ms": now.Sub(c.Opened).Milliseconds(), "stopping_ms": now.Sub(stopping).Milliseconds(),
		}).Warn("connection_cut_off")
	}
	return cut
}

// told tells how a node has ended, and returns an error where requests did not come to their own end.
func told(log logrus.FieldLogger, stopping time.Time, interrupted, cut int) error {
	log.WithFields(logrus.Fields{
		"interrupted": interrupted, "cut_off": cut, "ms": time.Since(stopping).Milliseconds(),
	}).Info("node_stopped")
	if interrupted+cut > 0 {
		return vaneyoke.Err(vaneyoke.CodeInterrupted, "%d requests were interrupted and %d cut off at the end of the grace", interrupted, cut)
	}
	return nil
}

// serverErrors has what package http tells of a server, such as a handler's panic, logged as a line.
func serverErrors(to logrus.FieldLogger) *log.Logger { return log.New(&errorLines{to: to}, "", 0) }

// errorLines logs each text that is written to it.
type errorLines struct{ to logrus.FieldLogger }

// Write logs a text as one line.
func (l *errorLines) Write(text []byte) (int, error) {
	l.to.WithField("error", strings.TrimSpace(string(text))).Error("server_error")
	return len(text), nil
}
