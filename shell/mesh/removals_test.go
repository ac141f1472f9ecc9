package mesh

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// TestReplicasConvergeAfterRemovals changes a table at random, removes rows and adds them again, and removes more than maxRemovals at once. One
// replica receives each change and another one only some; both must hold the same rows after each update.
func TestReplicasConvergeAfterRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		from, _ := newRecordingHub()
		near, nearRows := newRecordingHub()
		far, farRows := newRecordingHub()
		nearHeld, farHeld := heldVersions{}, heldVersions{}
		rows := watch.Rows{}
		for version := watch.Version(1); version < 12; version++ {
			rows = maps.Clone(rows)
			changeRows(t, rows, version)
			setConfirmed(from, now, "t", rows, version, now)
			sendNext(t, from, near, now, nearHeld)
			must.MapEq(t, rows, *nearRows)
			if rapid.IntRange(0, 6).Draw(t, "far") == 0 {
				sendNext(t, from, far, now, farHeld)
				must.MapEq(t, rows, *farRows)
			}
		}
	})
}

// changeRows writes a few rows and removes a few others, sometimes nearly all.
func changeRows(t *rapid.T, rows watch.Rows, version watch.Version) {
	for range rapid.IntRange(0, 3).Draw(t, "writes") {
		key := fmt.Sprint("k", rapid.IntRange(0, 20).Draw(t, "key"))
		rows[key] = row(fmt.Sprint(version), version)
	}
	switch rapid.IntRange(0, 9).Draw(t, "removals") {
	case 0, 1, 2:
		delete(rows, fmt.Sprint("k", rapid.IntRange(0, 20).Draw(t, "gone")))
	case 3:
		for n := range maxRemovals + 10 { // removed together by a later case 4
			rows[fmt.Sprint("many", n)] = row("many", version)
		}
	case 4:
		maps.DeleteFunc(rows, func(key string, _ watch.Row) bool { return len(key) > 3 })
	}
}

func sendNext(t *rapid.T, from, to *Hub, now time.Time, held heldVersions) {
	p, _, _, err := from.nextUpdate(now, held)
	must.NoError(t, err)
	if p == nil {
		return
	}
	f, err := p.unpack()
	must.NoError(t, err)
	to.applyFrame(now, f, nil, true)
}

// TestRemovalSendsOnlyRemovedKey checks that the removal of one row from a large table does not send the keys of all other rows.
func TestRemovalSendsOnlyRemovedKey(t *testing.T) {
	now := time.Unix(1000, 0)
	from, _ := newRecordingHub()
	rows := watch.Rows{}
	for n := range 3000 {
		rows[fmt.Sprintf("i-%010d", n)] = row("x", 1)
	}
	setConfirmed(from, now, "t", rows, 1, now)
	rows = maps.Clone(rows)
	delete(rows, "i-0000000007")
	setConfirmed(from, now, "t", rows, 2, now)
	p, _, _, err := from.nextUpdate(now, heldVersions{"t": {version: 1}})
	must.NoError(t, err)
	must.Less(t, 200, len(p))
	f, err := p.unpack()
	must.NoError(t, err)
	must.Eq(t, []string{"i-0000000007"}, f.Tables[0].Removed)
}

// TestRowsChangedWithinVersionAreResent removes a row without a transaction, like an expired row at the end of its grace period. Nodes that
// already received this version must get the change, including those that reconnect.
func TestRowsChangedWithinVersionAreResent(t *testing.T) {
	now := time.Unix(1000, 0)
	from, _ := newRecordingHub()
	setConfirmed(from, now, "t", watch.Rows{"a": row("1", 1), "b": row("2", 2)}, 2, now)
	from.Confirm("t", 5, now, "reader")
	near, nearRows := newRecordingHub()
	nearHeld := heldVersions{}
	send := func(to *Hub, held heldVersions) {
		to.applyFrame(now, nextFrame(t, from, now, held), nil, true)
	}
	send(near, nearHeld)
	must.MapLen(t, 2, *nearRows)
	far, farRows := newRecordingHub()
	send(far, heldVersions{})
	farHeld := parseHeldVersions(far.heldQuery())
	setConfirmed(from, now, "t", watch.Rows{"a": row("1", 1)}, 5, now)
	send(near, nearHeld)
	must.Eq(t, watch.Rows{"a": row("1", 1)}, *nearRows)
	send(far, farHeld)
	must.Eq(t, watch.Rows{"a": row("1", 1)}, *farRows)
	must.SliceEmpty(t, nextFrame(t, from, now, nearHeld).Tables)
	must.SliceEmpty(t, nextFrame(t, from, now, farHeld).Tables)
}

// unchanged reports whether a table had the same rows at all of the versions.
func unchanged(history []watch.Rows) bool {
	return !slices.ContainsFunc(history, func(rows watch.Rows) bool { return !maps.EqualFunc(history[0], rows, sameVersion) })
}

// TestReplicaNeverRegresses has a node alternate between two sources that read the store at different times and so skip versions. After each
// update it must hold exactly the store's rows of some version, never an older one than before.
func TestReplicaNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		history := []watch.Rows{{}}
		parents := [2]*Hub{}
		for i := range parents {
			parents[i], _ = newRecordingHub()
			setConfirmed(parents[i], now, "t", history[0], 0, now)
		}
		node, got := newRecordingHub()
		current, held := 0, heldVersions{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			version := watch.Version(len(history))
			rows := maps.Clone(history[len(history)-1])
			changeRows(t, rows, version)
			history = append(history, rows)
			for _, p := range parents {
				switch rapid.IntRange(0, 3).Draw(t, "parent") {
				case 0: // reads the changes
					setConfirmed(p, now, "t", rows, version, now)
				case 1: // a confirmation, which the store sends only if no row was added and removed in between either
					if unchanged(history[p.tables["t"].version:]) {
						p.Confirm("t", version, now, "reader")
					}
				}
			}
			if rapid.Bool().Draw(t, "switch") {
				current, held = 1-current, heldVersions{}
				if node.tables["t"].rows != nil {
					held["t"] = heldVersion{version: node.tables["t"].version}
				}
			}
			earlier := node.tables["t"].version
			sendNext(t, parents[current], node, now, held)
			must.GreaterEq(t, earlier, node.tables["t"].version)
			must.MapEq(t, history[node.tables["t"].version], *got)
		}
	})
}
