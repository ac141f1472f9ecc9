package memory

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// Platform is an in-memory table, object store and list of VMs. Create it with New.
type Platform struct {
	mu       sync.Mutex
	rows     map[string]map[string]store.Row
	outcomes map[store.Nonce]error // outcomes of all transactions so far
	objects  map[string][]byte
	vms      []store.VM
}

var (
	_ store.Table   = (*Platform)(nil)
	_ store.Objects = (*Objects)(nil)
	_ store.VMs     = (*Platform)(nil)
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		rows:     map[string]map[string]store.Row{},
		outcomes: map[store.Nonce]error{},
		objects:  map[string][]byte{},
	}
}

// Get returns the newest committed row.
func (p *Platform) Get(_ context.Context, key store.Key) (store.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key.Partition][key.ID]
	if !ok {
		return store.Row{}, vaneyoke.Err(vaneyoke.CodeNotFound, "no row %s/%s", key.Partition, key.ID)
	}
	return row, nil
}

// Scan returns up to limit rows of a partition whose ids come after the given one.
func (p *Platform) Scan(_ context.Context, partition, after string, limit int) (store.Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := slices.Sorted(maps.Keys(p.rows[partition]))
	start, found := slices.BinarySearch(ids, after)
	if found {
		start++
	}
	end := min(start+limit, len(ids))
	var page store.Page
	for _, id := range ids[start:end] {
		page.Rows = append(page.Rows, p.rows[partition][id])
	}
	if end < len(ids) {
		page.Next = ids[end-1]
	}
	return page, nil
}

// Commit applies all writes of a transaction or none.
func (p *Platform) Commit(_ context.Context, tx store.Tx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err, ok := p.outcomes[tx.Nonce]; ok {
		return err
	}
	err := p.check(tx)
	if err == nil {
		p.apply(tx)
	}
	p.outcomes[tx.Nonce] = err
	return err
}

func (p *Platform) check(tx store.Tx) error {
	for _, w := range tx.Writes {
		key, cond := target(w)
		if p.rows[key.Partition][key.ID].Version != cond.Version {
			return vaneyoke.Err(vaneyoke.CodeStoreRace, "row %s/%s does not have version %d", key.Partition, key.ID, cond.Version)
		}
	}
	return nil
}

func target(w store.Write) (store.Key, store.Condition) {
	switch w := w.(type) {
	case store.Put:
		return w.Key, w.If
	case store.Delete:
		return w.Key, w.If
	case store.Check:
		return w.Key, w.If
	}
	return store.Key{}, store.Condition{}
}

func (p *Platform) apply(tx store.Tx) {
	for _, w := range tx.Writes {
		switch w := w.(type) {
		case store.Put:
			p.put(store.Row{Key: w.Key, Version: w.If.Version + 1, Nonce: tx.Nonce, Value: slices.Clone(w.Value)})
		case store.Delete:
			delete(p.rows[w.Key.Partition], w.Key.ID)
		case store.Check:
		}
	}
}

func (p *Platform) put(row store.Row) {
	partition := p.rows[row.Key.Partition]
	if partition == nil {
		partition = map[string]store.Row{}
		p.rows[row.Key.Partition] = partition
	}
	partition[row.Key.ID] = row
}

// List returns the VMs.
func (p *Platform) List(context.Context) ([]store.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.vms), nil
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// Objects returns the platform's object store.
func (p *Platform) Objects() *Objects { return &Objects{platform: p} }

// Objects is the in-memory object store.
type Objects struct{ platform *Platform }

// Put stores an object under a name.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.platform.mu.Lock()
	defer o.platform.mu.Unlock()
	o.platform.objects[name] = slices.Clone(data)
	return nil
}

// Get returns an object's data.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.platform.mu.Lock()
	defer o.platform.mu.Unlock()
	data, ok := o.platform.objects[name]
	if !ok {
		return nil, vaneyoke.Err(vaneyoke.CodeNotFound, "no object %s", name)
	}
	return data, nil
}
