package node

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// plannedChanges records when the node last got each kind of planned change.
type plannedChanges struct {
	configured, reloaded, stopping atomic.Pointer[time.Time] // nil for never
}

// millisecondsSince returns the time since a moment in milliseconds, -1 for nil.
func millisecondsSince(now time.Time, since *time.Time) int64 {
	if since == nil {
		return -1
	}
	return now.Sub(*since).Milliseconds()
}

// wholeMilliseconds returns a time in milliseconds, -1 for a negative one.
func wholeMilliseconds(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// abortRecorder logs and counts the requests whose callers got no complete response.
type abortRecorder struct {
	total   *expvar.Map // by cause
	changes *plannedChanges
	log     logrus.FieldLogger
}

func newAbortRecorder(vars *expvar.Map, changes *plannedChanges, log logrus.FieldLogger) *abortRecorder {
	total := new(expvar.Map).Init()
	vars.Set("answers_aborted_total", total)
	return &abortRecorder{total: total, changes: changes, log: log}
}

func (r *abortRecorder) record(a serve.Abort) {
	r.total.Add(string(a.Cause), 1)
	now := time.Now()
	r.log.WithFields(logrus.Fields{
		"request": a.Request, "host": a.Host, "path": a.Path, "cause": string(a.Cause), "code": int(a.Code), "error": a.Err,
		"sent_bytes": a.SentBytes, "unread_bytes": a.Unread, "whole": a.Whole,
		"age_ms": a.Age.Milliseconds(), "body_ms": wholeMilliseconds(a.BodyAge), "opened_ms": a.ConnAge.Milliseconds(),
		"configured_ms": millisecondsSince(now, r.changes.configured.Load()), "reloaded_ms": millisecondsSince(now, r.changes.reloaded.Load()),
		"stopping_ms": millisecondsSince(now, r.changes.stopping.Load()),
	}).Warn("answer_aborted")
}
