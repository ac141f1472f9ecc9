package node

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/admission"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// capSetter keeps requests to the caps that operators have set.
type capSetter interface {
	// SetCaps replaces the caps in force.
	SetCaps(caps []admission.Cap)
}

// capTables passes the rows of the caps table to the component that applies them. It may be created before that component.
type capTables struct {
	log logrus.FieldLogger

	mu      sync.Mutex
	setter  capSetter // nil until connected
	caps    []admission.Cap
	skipped int // rows that cannot be read, or beyond platform.MaxCaps
}

func newCapTables(vars *expvar.Map, log logrus.FieldLogger) *capTables {
	t := &capTables{log: log, caps: []admission.Cap{}}
	published := new(expvar.Map).Init()
	published.Set("in_force", expvar.Func(func() any { return t.inForce() }))
	published.Set("rows_skipped", expvar.Func(func() any { return t.rowsSkipped() }))
	vars.Set("caps", published)
	return t
}

func provideCapTables(i do.Injector) (*capTables, error) {
	return newCapTables(do.MustInvoke[*expvar.Map](i), do.MustInvoke[logrus.FieldLogger](i)), nil
}

// connect sets the component that applies the caps.
func (t *capTables) connect(setter capSetter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setter = setter
	setter.SetCaps(slices.Clone(t.caps))
}

// setRows passes on the rows of the caps table.
func (t *capTables) setRows(_ time.Time, rows watch.Rows) {
	caps := readRows(rows, t.log, platform.DecodeCap)
	slices.SortFunc(caps, compareCaps)
	caps = caps[:min(len(caps), platform.MaxCaps)]
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.caps
	t.caps, t.skipped = caps, len(rows)-len(caps)
	if t.setter != nil {
		t.setter.SetCaps(slices.Clone(caps))
	}
	t.logChanges(before)
}

func compareCaps(a, b admission.Cap) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route))
}

// logChanges logs the caps that came in force, changed or were lifted.
func (t *capTables) logChanges(before []admission.Cap) {
	type key struct {
		workspace vaneyoke.WorkspaceID
		route     vaneyoke.RouteID
	}
	shares := map[key]float64{}
	for _, c := range before {
		shares[key{c.Workspace, c.Route}] = c.Share
	}
	for _, c := range t.caps {
		k := key{c.Workspace, c.Route}
		share, ok := shares[k]
		delete(shares, k)
		if !ok {
			share = 1
		}
		if !ok || share != c.Share {
			t.log.WithFields(logrus.Fields{"workspace": c.Workspace, "route": c.Route, "share": c.Share, "before": share}).Info("cap_set")
		}
	}
	for k, share := range shares {
		t.log.WithFields(logrus.Fields{"workspace": k.workspace, "route": k.route, "before": share}).Info("cap_cleared")
	}
}

func (t *capTables) inForce() []admission.Cap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caps
}

func (t *capTables) rowsSkipped() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.skipped
}
