package node

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// capRecorder records the caps that were set last.
type capRecorder struct{ caps []admission.Cap }

func (r *capRecorder) SetCaps(caps []admission.Cap) { r.caps = caps }

func newRecordedCaps(t *testing.T) (*capTables, *capRecorder, *expvar.Map, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	vars := new(expvar.Map).Init()
	tables, recorder := newCapTables(vars, log), &capRecorder{}
	tables.connect(recorder)
	must.SliceEmpty(t, recorder.caps)
	return tables, recorder, vars, hook
}

func capRows(rows map[string]string) watch.Rows {
	all := watch.Rows{}
	for key, data := range rows {
		all[key] = watch.Row{Data: []byte(data), Version: 1}
	}
	return all
}

// events returns the logged events with their fields since the last call.
func events(hook *logtest.Hook) (all []string) {
	for _, e := range hook.AllEntries() {
		all = append(all, fmt.Sprint(e.Message, " ", map[string]any(e.Data)))
	}
	hook.Reset()
	return all
}

// TestCapChangesAreNotLogged sets, changes and clears a cap.
func TestCapChangesAreNotLogged(t *testing.T) {
	tables, recorder, vars, hook := newRecordedCaps(t)
	tables.setRows(time.Time{}, capRows(map[string]string{"w/": `{"workspace":"w","share":0.2}`}))
	must.Eq(t, []admission.Cap{{Workspace: "w", Share: 0.2}}, recorder.caps)
	must.Eq(t, []string{"cap_set map[before:1 route: share:0.2 workspace:w]"}, events(hook))
	must.EqOp(t, `{"in_force": [{"workspace":"w","share":0.2}], "rows_skipped": 0}`, vars.Get("caps").String())

	tables.setRows(time.Time{}, capRows(map[string]string{"w/": `{"workspace":"w","share":0}`, "/r": `{"route":"r","share":0.5}`}))
	must.Eq(t, []admission.Cap{{Route: "r", Share: 0.5}, {Workspace: "w"}}, recorder.caps)
	must.Eq(t, []string{"cap_set map[before:1 route:r share:0.5 workspace:]", "cap_set map[before:0.2 route: share:0 workspace:w]"}, events(hook))

	tables.setRows(time.Time{}, capRows(map[string]string{"/r": `{"route":"r","share":0.5}`}))
	must.Eq(t, []string{"cap_cleared map[before:0 route: workspace:w]"}, events(hook))
	must.Eq(t, []admission.Cap{{Route: "r", Share: 0.5}}, recorder.caps)
}

// TestCapsReadBeforeConnectionAreLost connects the component that applies the caps after the rows were read.
func TestCapsReadBeforeConnectionAreLost(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tables, recorder := newCapTables(new(expvar.Map).Init(), log), &capRecorder{}
	tables.setRows(time.Time{}, capRows(map[string]string{"w/": `{"workspace":"w","share":0.2}`}))
	tables.connect(recorder)
	must.Eq(t, []admission.Cap{{Workspace: "w", Share: 0.2}}, recorder.caps)
}

// TestHostileCapRowsAreApplied has rows that cannot be read beside a good one: they are skipped and counted.
func TestHostileCapRowsAreApplied(t *testing.T) {
	rows := map[string]string{
		"good/":      `{"workspace":"good","share":0.2}`,
		"more/":      `{"workspace":"more","share":1.5}`,
		"less/":      `{"workspace":"less","share":-1}`,
		"huge/":      `{"workspace":"huge","share":1e999}`,
		"none/":      `{"workspace":"none"}`,
		"null/":      `null`,
		"text/":      `share`,
		"empty/":     ``,
		"other/":     `{"workspace":"good","share":0}`,
		"/":          `{"share":0}`,
		"control/":   `{"workspace":"\u001b[2J","share":0}`,
		"list/":      `[{"workspace":"list","share":0}]`,
		"no-slash":   `{"workspace":"no-slash","share":0}`,
		"long/":      `{"workspace":"` + strings.Repeat("w", 300) + `","share":0}`,
		"very-long/": `{"workspace":"very-long","share":0,"rest":"` + strings.Repeat("w", 5000) + `"}`,
	}
	tables, recorder, vars, hook := newRecordedCaps(t)
	tables.setRows(time.Time{}, capRows(rows))
	must.Eq(t, []admission.Cap{{Workspace: "good", Share: 0.2}}, recorder.caps)
	must.StrContains(t, vars.Get("caps").String(), fmt.Sprintf(`"rows_skipped": %d`, len(rows)-1))
	must.Len(t, len(rows), events(hook)) // row_unreadable for each bad one, and cap_set
}

// TestTooManyCapsAreApplied checks that the number of caps in force is bounded, and that all nodes choose the same.
func TestTooManyCapsAreApplied(t *testing.T) {
	rows := map[string]string{}
	for i := range 3 * platform.MaxCaps {
		name := fmt.Sprintf("w%04d", i)
		rows[name+"/"] = fmt.Sprintf(`{"workspace":%q,"share":0}`, name)
	}
	tables, recorder, vars, _ := newRecordedCaps(t)
	tables.setRows(time.Time{}, capRows(rows))
	must.Len(t, platform.MaxCaps, recorder.caps)
	must.EqOp(t, "w0255", recorder.caps[platform.MaxCaps-1].Workspace)
	var published struct {
		Skipped int `json:"rows_skipped"`
	}
	must.NoError(t, json.Unmarshal([]byte(vars.Get("caps").String()), &published))
	must.EqOp(t, 2*platform.MaxCaps, published.Skipped)
}
