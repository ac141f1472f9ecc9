package pins_test

import (
	"context"
	"errors"
	"expvar"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pinning"
	"github.com/vaneyoke/vaneyoke/shell/pins"
)

// fakeArchive holds one record, or does not answer.
type fakeArchive struct {
	record pinning.Record
	hangs  bool
}

func (a *fakeArchive) Write(context.Context, []pinning.Record, []pinning.RowKey) error { return nil }
func (a *fakeArchive) Sweep(context.Context) (int, error)                              { return 0, nil }

func (a *fakeArchive) Read(ctx context.Context, stream pinning.StreamID) ([]pinning.Record, error) {
	if a.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if a.record.Stream != stream {
		return nil, nil
	}
	return []pinning.Record{a.record}, nil
}

type noMessages struct{}

func (noMessages) SendPins(string, []byte) bool { return false }

type twoVersions struct{}

func (twoVersions) Software([]vaneyoke.ServiceID) ([]pinning.Software, time.Duration) {
	return []pinning.Software{{Service: "lm", Version: "v1"}, {Service: "lm", Version: "v2"}}, time.Hour
}

var resumed = pins.Lookup{Request: "second", Workspace: "w", Resumes: "first", After: "4", Services: []vaneyoke.ServiceID{"lm"}, MaxAge: time.Minute}

func newNode(archive pins.Archive) *pins.Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := pins.New(pinning.Member{VM: "vm-1", Address: "a"}, twoVersions{}, noMessages{}, archive, pins.NewMetrics(new(expvar.Map).Init()), log)
	n.SetMembers([]pinning.Member{{VM: "vm-1", Address: "a"}})
	return n
}

// Guards against a caller who waits for longer than for one call to the store, is told never to come back while the store may know the stream later, or is waited for
// once more.
func TestLookupsWhileTheStoreIsAway(t *testing.T) {
	stream := pinning.NewStreamID("w", "first")
	cases := map[string]struct {
		archive fakeArchive
		isKnown bool // whether the record of versions is
		basis   pinning.Basis
		unread  bool
		took    time.Duration
	}{
		"it answers":                             {fakeArchive{record: pinning.Record{Stream: stream, Software: pinning.Software{Service: "lm", Version: "v2"}, TTL: time.Minute}}, true, pinning.BasisStore, false, 0},
		"it has no record":                       {fakeArchive{}, true, pinning.BasisNone, false, 0},
		"it hangs":                               {fakeArchive{hangs: true}, true, pinning.BasisNone, true, 1500 * time.Millisecond},
		"the record of versions is not here yet": {fakeArchive{}, false, pinning.BasisNone, true, 300 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNode(&tc.archive)
				defer n.Close()
				n.SetMixed([]vaneyoke.ServiceID{"lm"})
				if tc.isKnown {
					n.VersionsKnown()
				}
				began := time.Now()
				got, err := n.Find(t.Context(), resumed)
				must.NoError(t, err)
				must.EqOp(t, tc.basis, got.Basis)
				must.EqOp(t, tc.unread, got.StoreUnread)
				must.EqOp(t, tc.took, time.Since(began))
				began = time.Now()
				_, err = n.Find(t.Context(), resumed)
				must.NoError(t, err)
				if !tc.isKnown {
					must.EqOp(t, 0, time.Since(began)) // it waits once
				}
			})
		})
	}
}

// Guards against a lookup whose work goes on although its caller has left.
func TestCallerLeavesWhileTheStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(&fakeArchive{hangs: true})
		defer n.Close()
		n.VersionsKnown()
		ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer leave()
		_, err := n.Find(ctx, resumed)
		must.True(t, errors.Is(err, context.DeadlineExceeded))
		must.EqOp(t, vaneyoke.CodeCallerGone, vaneyoke.CodeOf(err))
		time.Sleep(2 * time.Second)
	})
}
