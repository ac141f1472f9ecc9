package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
)

const firstLog = `  17.0037 edge-1 time="2026-06-27T18:34:00.100Z" level=info msg=node_started vm=edge-1
time="2026-06-27T18:34:01.100Z" level=info msg=configuration_in_force before=0 version=3
time="2026-06-27T18:34:01.200Z" level=warning msg=attempt_lost attempt=1 cause=closed error="read: \"reset\"" request=r1 upstream=e1
time="2026-06-27T18:34:01.250Z" level=info msg=session_ended code=0 request=r2
time="2026-06-27T18:34:01.300Z" level=warning msg=store_lost error=down table=routes version=9
no line of ours
time="2026-06-27T18:34:03.000Z" level=info msg=session_ended attempts=2 code=80 request=r1 version=3
time="2026-06-27T18:34:04.000Z" level=info msg=store_regained failures=3 table=routes version=9
`

const secondLog = `time="2026-06-27T18:34:02.500Z" level=info msg=request_refused code=60 request=r1
`

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "first"), filepath.Join(dir, "second")
	must.NoError(t, os.WriteFile(first, []byte(firstLog), 0o600))
	must.NoError(t, os.WriteFile(second, []byte(secondLog), 0o600))
	out, err := run(t, "explain", "r1", first, second)
	must.NoError(t, err)
	var events []string
	for line := range strings.Lines(out) {
		events = append(events, strings.Fields(line)[2])
	}
	must.Eq(t, []string{"attempt_lost", "store_lost", "request_refused", "session_ended"}, events)
	must.StrContains(t, out, `error="read: \"reset\""`)

	out, err = run(t, "explain", "--json", "r1", first)
	must.NoError(t, err)
	for line := range strings.Lines(out) {
		var got logLine
		must.NoError(t, json.Unmarshal([]byte(line), &got))
		must.NotEqOp(t, "", got.Event)
	}

	_, err = run(t, "explain", "r9", first)
	must.EqOp(t, vaneyoke.CodeNotFound, vaneyoke.CodeOf(err))
	_, err = run(t, "explain", "r1")
	must.EqOp(t, vaneyoke.CodeUsage, vaneyoke.CodeOf(err))
	_, err = run(t, "explain", "r1", filepath.Join(dir, "none"))
	must.EqOp(t, vaneyoke.CodeUsage, vaneyoke.CodeOf(err))
}
