package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/platform"
	"github.com/vaneyoke/vaneyoke/platform/platformtest"
)

func newCapStore(t *testing.T) *platformtest.Store {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	return store
}

// TestCapCommandsTellWhatWasInForce sets, changes, lists and clears a cap.
func TestCapCommandsTellWhatWasInForce(t *testing.T) {
	store := newCapStore(t)
	capCommand := func(command string, args ...string) string {
		out, err := run(t, append([]string{"cap", command, "--store", store.Address()}, args...)...)
		must.NoError(t, err, must.Sprint(out))
		return out
	}
	must.EqOp(t, "before: no cap\n", capCommand("set", "--workspace", "w/1", "--route", "tell", "--share", "0.2"))
	must.EqOp(t, `{"workspace":"w/1","route":"tell","share":0.2}`, string(store.Read("caps", "w%2F1/tell")))
	must.EqOp(t, "before: share 0.2 at revision 1\n", capCommand("set", "--workspace", "w/1", "--route", "tell", "--share", "0"))
	capCommand("set", "--route", "look", "--share", "0.5")
	must.EqOp(t, "WORKSPACE  ROUTE  SHARE  REVISION\nall        look   0.5    3\nw/1        tell   0      2\n", capCommand("list"))
	must.StrContains(t, capCommand("list", "--json"), `{"cap":{"workspace":"w/1","route":"tell","share":0},"revision":2}`)
	must.EqOp(t, "before: share 0 at revision 2\n", capCommand("clear", "--workspace", "w/1", "--route", "tell"))
	must.EqOp(t, "before: no cap\n", capCommand("clear", "--workspace", "w/1", "--route", "tell"))
	must.Nil(t, store.Read("caps", "w%2F1/tell"))
}

// TestCapWithoutStore has the store refuse all calls, or lose its reply to a write.
func TestCapWithoutStore(t *testing.T) {
	store := newCapStore(t)
	args := []string{"cap", "set", "--store", store.Address(), "--workspace", "w", "--share", "0.2"}
	store.Refuse(http.StatusServiceUnavailable)
	_, err := run(t, args...)
	must.EqOp(t, vaneyoke.CodeStoreDown, vaneyoke.CodeOf(err))
	must.StrContains(t, err.Error(), "the cap was not changed: the store at "+store.Address()+" cannot be read")
	_, err = run(t, "cap", "list", "--store", store.Address())
	must.EqOp(t, vaneyoke.CodeStoreDown, vaneyoke.CodeOf(err))
	store.Refuse(0)
	must.Nil(t, store.Read("caps", "w/"))

	store.LoseReplies(1)
	_, err = run(t, args...)
	must.EqOp(t, vaneyoke.CodeStoreUnknown, vaneyoke.CodeOf(err))
	must.StrContains(t, err.Error(), "the cap may have been changed")
}

// raceStore returns the address of a store before which another operator's change is made when the first write arrives.
func raceStore(t *testing.T, store *platformtest.Store, change func()) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})
	var changed atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && changed.CompareAndSwap(false, true) {
			change()
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestSecondOperatorOverwritesCap has another operator change a cap after it was read: the second operator is told what is in force.
func TestSecondOperatorOverwritesCap(t *testing.T) {
	store := newCapStore(t)
	other := func(args ...string) func() {
		return func() {
			_, err := run(t, append([]string{"cap", "set", "--store", store.Address(), "--workspace", "w"}, args...)...)
			must.NoError(t, err)
		}
	}
	_, err := run(t, "cap", "set", "--store", raceStore(t, store, other("--share", "0.3")), "--workspace", "w", "--share", "0.2")
	must.EqOp(t, vaneyoke.CodeStoreRace, vaneyoke.CodeOf(err))
	must.StrContains(t, err.Error(), "in force is share 0.3 at revision 1")
	_, err = run(t, "cap", "clear", "--store", raceStore(t, store, other("--share", "0.1")), "--workspace", "w")
	must.EqOp(t, vaneyoke.CodeStoreRace, vaneyoke.CodeOf(err))
	must.StrContains(t, err.Error(), "in force is share 0.1 at revision 2")
	for _, args := range [][]string{{"set", "--share", "0.9"}, {"clear"}} {
		_, err = run(t, append([]string{"cap", args[0], "--store", store.Address(), "--workspace", "w", "--revision", "1"}, args[1:]...)...)
		must.EqOp(t, vaneyoke.CodeStoreRace, vaneyoke.CodeOf(err))
		must.StrContains(t, err.Error(), "in force is share 0.1 at revision 2")
	}
	must.EqOp(t, `{"workspace":"w","share":0.1}`, string(store.Read("caps", "w/")))
}

// TestUnreadableCapCannotBeReplaced sets and clears a cap whose row cannot be read.
func TestUnreadableCapCannotBeReplaced(t *testing.T) {
	store := newCapStore(t)
	store.Put("caps", "w/", "nothing")
	out, err := run(t, "cap", "list", "--store", store.Address())
	must.NoError(t, err)
	must.StrContains(t, out, "not in force: row")
	out, err = run(t, "cap", "set", "--store", store.Address(), "--workspace", "w", "--share", "0.5")
	must.NoError(t, err)
	must.StrContains(t, out, "before: nothing, since revision 1 cannot be read")
	store.Put("caps", "w/", "nothing")
	_, err = run(t, "cap", "clear", "--store", store.Address(), "--workspace", "w")
	must.NoError(t, err)
	must.Nil(t, store.Read("caps", "w/"))
}

// TestBadCapIsWritten checks that bad values are rejected before anything is written.
func TestBadCapIsWritten(t *testing.T) {
	store := newCapStore(t)
	for name, args := range map[string][]string{
		"more than all":   {"--workspace", "w", "--share", "1.1"},
		"negative":        {"--workspace", "w", "--share=-0.1"},
		"not a number":    {"--workspace", "w", "--share", "NaN"},
		"no name":         {"--share", "0.5"},
		"no share":        {"--workspace", "w"},
		"long name":       {"--workspace", strings.Repeat("w", 300), "--share", "0.5"},
		"escape sequence": {"--workspace", "\x1b[2J", "--share", "0.5"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := run(t, append([]string{"cap", "set", "--store", store.Address()}, args...)...)
			must.Error(t, err)
			must.EqOp(t, int(vaneyoke.CodeUsage), vaneyoke.ExitStatus(err))
		})
	}
	must.Zero(t, store.AllCalls())
}

// TestCapBeyondTheMostIsRefused sets one cap more than nodes apply: it was written, and "before: no cap" printed, but it was not in force anywhere.
func TestCapBeyondTheMostIsRefused(t *testing.T) {
	store := newCapStore(t)
	for i := range platform.MaxCaps {
		workspace := fmt.Sprint("w", i)
		store.Put("caps", workspace+"/", map[string]any{"workspace": workspace, "share": 0.5})
	}
	set := func(workspace string) error {
		_, err := run(t, "cap", "set", "--store", store.Address(), "--workspace", workspace, "--share", "0")
		return err
	}
	err := set("z")
	must.EqOp(t, vaneyoke.CodeUsage, vaneyoke.CodeOf(err))
	must.StrContains(t, err.Error(), "the cap was not set: there are 256, and nodes apply no more")
	must.Nil(t, store.Read("caps", "z/"))
	must.NoError(t, set("w7"))
	_, err = run(t, "cap", "clear", "--store", store.Address(), "--workspace", "w8")
	must.NoError(t, err)
	must.NoError(t, set("z"))
}
