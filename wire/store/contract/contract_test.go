package contract_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/standin"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/aws"
	"github.com/vaneyoke/vaneyoke/wire/store/memory"
)

// implementation is one implementation of package store, with access to its stand-in server for injecting faults.
type implementation struct {
	table   store.Table
	objects store.Objects
	vms     store.VMs
	setVMs  func([]store.VM)
	remote  *standin.Platform // nil for package memory
}

func implementations(t *testing.T) map[string]implementation {
	inMemory := memory.New()
	remote, err := standin.NewPlatform("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = remote.Close() })
	client := aws.New(aws.Config{
		TableURL: remote.URL(), ObjectURL: remote.ObjectURL(), VMsURL: remote.VMsURL(),
		Region: "local", AccessKey: "a", SecretKey: "b", Table: "t", Bucket: "b",
	}, &http.Client{Timeout: 5 * time.Second})
	return map[string]implementation{
		"memory": {table: inMemory, objects: inMemory.Objects(), vms: inMemory, setVMs: inMemory.SetVMs},
		"aws":    {table: client, objects: client.Objects(), vms: client, setVMs: remote.Memory.SetVMs, remote: remote},
	}
}

func put(id, value string, cond store.Condition) store.Put {
	return store.Put{Key: key(id), Value: []byte(value), If: cond}
}

func key(id string) store.Key { return store.Key{Partition: "p", ID: id} }

// step is one transaction of a case and the expected code.
type step struct {
	nonce  store.Nonce
	writes []store.Write
	code   vaneyoke.Code
}

func TestTransactions(t *testing.T) {
	cases := map[string]struct {
		steps []step
		rows  map[string]string // expected rows at the end
	}{
		"insert once": {
			[]step{
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
				{"2", []store.Write{put("a", "y", store.IfAbsent())}, vaneyoke.CodeStoreRace},
			}, map[string]string{"a": "x"},
		},
		"update needs the version": {
			[]step{
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
				{"2", []store.Write{put("a", "y", store.IfVersion(1))}, vaneyoke.CodeOK},
				{"3", []store.Write{put("a", "z", store.IfVersion(1))}, vaneyoke.CodeStoreRace},
			}, map[string]string{"a": "y"},
		},
		"all or none": {
			[]step{
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
				{"2", []store.Write{put("b", "y", store.IfAbsent()), put("a", "y", store.IfAbsent())}, vaneyoke.CodeStoreRace},
			}, map[string]string{"a": "x"},
		},
		"check guards another row": {
			[]step{
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
				{"2", []store.Write{store.Check{Key: key("a"), If: store.IfVersion(2)}, put("b", "y", store.IfAbsent())}, vaneyoke.CodeStoreRace},
				{"3", []store.Write{store.Check{Key: key("a"), If: store.IfVersion(1)}, put("b", "y", store.IfAbsent())}, vaneyoke.CodeOK},
			}, map[string]string{"a": "x", "b": "y"},
		},
		"delete": {
			[]step{
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
				{"2", []store.Write{store.Delete{Key: key("a"), If: store.IfVersion(1)}}, vaneyoke.CodeOK},
			}, map[string]string{},
		},
		"sent again with the same nonce": {
			[]step{
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
				{"1", []store.Write{put("a", "x", store.IfAbsent())}, vaneyoke.CodeOK},
			}, map[string]string{"a": "x"},
		},
	}
	for name, tc := range cases {
		for kind, s := range implementations(t) {
			t.Run(kind+"/"+name, func(t *testing.T) {
				for _, step := range tc.steps {
					err := s.table.Commit(t.Context(), store.Tx{Nonce: step.nonce, Writes: step.writes})
					must.EqOp(t, step.code, vaneyoke.CodeOf(err))
				}
				rows, err := store.ScanAll(t.Context(), s.table, "p")
				must.NoError(t, err)
				got := map[string]string{}
				for _, row := range rows {
					got[row.Key.ID] = string(row.Value)
				}
				must.MapEq(t, tc.rows, got)
			})
		}
	}
}

func TestScanPagination(t *testing.T) {
	for kind, s := range implementations(t) {
		t.Run(kind, func(t *testing.T) {
			for i := range 7 {
				id := fmt.Sprintf("r%d", i)
				must.NoError(t, s.table.Commit(t.Context(), store.Tx{Nonce: store.Nonce(id), Writes: []store.Write{put(id, id, store.IfAbsent())}}))
			}
			var ids []string
			for after := ""; ; {
				page, err := s.table.Scan(t.Context(), "p", after, 3)
				must.NoError(t, err)
				for _, row := range page.Rows {
					ids = append(ids, row.Key.ID)
				}
				if page.Next == "" {
					break
				}
				after = page.Next
			}
			must.Eq(t, []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6"}, ids)
			_, err := s.table.Get(t.Context(), key("none"))
			must.EqOp(t, vaneyoke.CodeNotFound, vaneyoke.CodeOf(err))
		})
	}
}

func TestObjectsAndVMs(t *testing.T) {
	for kind, s := range implementations(t) {
		t.Run(kind, func(t *testing.T) {
			must.NoError(t, s.objects.Put(t.Context(), "dir/name", []byte("data")))
			data, err := s.objects.Get(t.Context(), "dir/name")
			must.NoError(t, err)
			must.EqOp(t, "data", string(data))
			_, err = s.objects.Get(t.Context(), "none")
			must.EqOp(t, vaneyoke.CodeNotFound, vaneyoke.CodeOf(err))
			vms := []store.VM{{ID: "vm-1", DataCentre: "hall-a"}, {ID: "vm-2", DataCentre: "hall-b", Leaving: true}}
			s.setVMs(vms)
			got, err := s.vms.List(t.Context())
			must.NoError(t, err)
			must.Eq(t, vms, got)
			got, err = s.vms.List(t.Context())
			must.NoError(t, err)
			must.Eq(t, vms, got)
			s.setVMs(vms[:1])
			got, err = s.vms.List(t.Context())
			must.NoError(t, err)
			must.Eq(t, vms[:1], got)
		})
	}
}

func TestPlatformFaults(t *testing.T) {
	insert := store.Tx{Nonce: "n", Writes: []store.Write{put("a", "x", store.IfAbsent())}}
	commit := func(ctx context.Context, s implementation) error { return s.table.Commit(ctx, insert) }
	commitWithRetry := func(ctx context.Context, s implementation) error { return store.CommitWithRetry(ctx, s.table, insert) }
	cases := map[string]struct {
		fault   func(*standin.Platform)
		act     func(context.Context, implementation) error
		code    vaneyoke.Code
		written bool
	}{
		"lost reply has an unknown outcome":  {func(p *standin.Platform) { p.LoseReplies(1) }, commit, vaneyoke.CodeStoreUnknown, true},
		"lost reply is retried":              {func(p *standin.Platform) { p.LoseReplies(1) }, commitWithRetry, vaneyoke.CodeOK, true},
		"three lost replies":                 {func(p *standin.Platform) { p.LoseReplies(3) }, commitWithRetry, vaneyoke.CodeOK, true},
		"every reply lost":                   {func(p *standin.Platform) { p.LoseReplies(100) }, commitWithRetry, vaneyoke.CodeStoreUnknown, true},
		"outage has an unknown outcome":      {func(p *standin.Platform) { p.SetDown(true) }, commit, vaneyoke.CodeStoreUnknown, false},
		"refused connection applies nothing": {func(p *standin.Platform) { _ = p.Close() }, commit, vaneyoke.CodeStoreDown, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := implementations(t)["aws"]
			tc.fault(s.remote)
			must.EqOp(t, tc.code, vaneyoke.CodeOf(tc.act(t.Context(), s)))
			_, err := s.remote.Memory.Get(t.Context(), key("a"))
			must.EqOp(t, tc.written, err == nil)
		})
	}
	t.Run("the list of VMs lags", func(t *testing.T) {
		s := implementations(t)["aws"]
		s.setVMs([]store.VM{{ID: "old"}})
		s.remote.SetLag(true)
		s.setVMs([]store.VM{{ID: "new"}})
		vms, err := s.vms.List(t.Context())
		must.NoError(t, err)
		must.EqOp(t, "old", vms[0].ID)
	})
}
