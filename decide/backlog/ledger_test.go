package backlog_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke/decide/backlog"
)

var (
	start  = time.Unix(1000, 0)
	limits = backlog.Limits{Caller: 100, Node: 1000, Patience: 5 * time.Second}
)

func TestUnreadAnswerGrows(t *testing.T) {
	l := backlog.New(limits)
	id := l.Open(start)
	l.Receive(id, 400)
	l.Buffer(start, id, 99)
	must.EqOp(t, backlog.MayGrow, l.Check(id))
	l.Buffer(start, id, 1)
	must.EqOp(t, backlog.WaitReader, l.Check(id))
	l.Take(start, id, 1)
	must.EqOp(t, backlog.MayGrow, l.Check(id))
	l.Close(id)
	must.Zero(t, l.Total())
	must.EqOp(t, backlog.MayGrow, l.Check(id))
}

func TestZeroLimitBounds(t *testing.T) {
	l := backlog.New(backlog.Limits{})
	id := l.Open(start)
	l.Buffer(start, id, 1<<40)
	must.EqOp(t, backlog.MayGrow, l.Check(id))
	must.Len(t, 0, l.Stalled(start.Add(time.Hour)))
}

// TestPressureStopsCallersWithLittle has one caller hold more than its share under pressure; the others go on.
func TestPressureStopsCallersWithLittle(t *testing.T) {
	l := backlog.New(limits)
	first, large, small := l.Open(start), l.Open(start), l.Open(start)
	l.Receive(first, 400)
	l.Receive(large, 300)
	l.Receive(small, 100)
	must.EqOp(t, backlog.WaitNode, l.Check(first))
	must.EqOp(t, backlog.MayGrow, l.Check(first), must.Sprint("the first that waits goes on"))
	must.EqOp(t, backlog.WaitNode, l.Check(large))
	must.EqOp(t, backlog.WaitNode, l.Check(large))
	must.EqOp(t, backlog.MayGrow, l.Check(small))
	l.Close(first)
	must.EqOp(t, backlog.MayGrow, l.Check(large))
}

// TestReadingCallerIsCutOff cuts off under pressure who has read nothing, and only as many as needed.
func TestReadingCallerIsCutOff(t *testing.T) {
	l := backlog.New(limits)
	reading, stalled, more := l.Open(start), l.Open(start), l.Open(start)
	for _, id := range []backlog.ID{reading, stalled, more} {
		l.Buffer(start, id, 300)
	}
	l.Buffer(start, more, 50)
	now := start.Add(5 * time.Second)
	must.Len(t, 0, l.Stalled(now.Add(-time.Millisecond)))
	l.Take(now.Add(-time.Second), reading, 10)
	must.Eq(t, []backlog.ID{more, stalled}, l.Stalled(now))
	must.Len(t, 0, l.Stalled(now), must.Sprint("each is cut off once"))
	l.Close(more)
	l.Close(stalled)
	must.Len(t, 0, l.Stalled(now.Add(time.Minute)), must.Sprint("there is no pressure"))
}

// TestTotalExceedsTheLimit has callers that ask before they grow by one byte: the node's limit holds, but for one caller that is let through.
func TestTotalExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := backlog.New(limits)
		now := start
		held := map[backlog.ID]backlog.Bytes{}
		unread := map[backlog.ID]backlog.Bytes{}
		var ids []backlog.ID
		for range rapid.IntRange(1, 8).Draw(t, "callers") {
			ids = append(ids, l.Open(now))
		}
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "caller")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				n := min(unread[id], 5)
				l.Take(now, id, n)
				unread[id] -= n
				held[id] -= n
			case 1, 2, 3:
				if l.Check(id) == backlog.MayGrow {
					l.Receive(id, 1)
					held[id]++
				}
			default:
				if l.Check(id) == backlog.MayGrow {
					l.Buffer(now, id, 1)
					held[id]++
					unread[id]++
				}
			}
			total, most := backlog.Bytes(0), backlog.Bytes(0)
			for _, id := range ids {
				must.EqOp(t, unread[id], l.Unread(id))
				must.LessEq(t, limits.Caller, unread[id])
				total += held[id]
				most = max(most, held[id])
			}
			must.EqOp(t, total, l.Total())
			must.LessEq(t, limits.Node+most, total)
		}
	})
}
