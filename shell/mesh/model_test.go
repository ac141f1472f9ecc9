package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

const (
	modelGrace   = 1600 * time.Millisecond
	modelPoll    = 20 * time.Millisecond
	modelTable   = "t"
	modelHubs    = 5
	modelKeys    = 12
	calmAfter    = 4 * time.Second // after the last disruption, at which all hubs hold the store's rows
	modelSteps   = 40
	modelMaxStep = 900 * time.Millisecond
)

var errModelDown = errors.New("the store does not answer")

// modelStore is a table of a store that keeps its history.
type modelStore struct {
	mu      sync.Mutex // guards all, and which hubs are cut
	rows    watch.Rows
	version watch.Version
	log     []watch.Change
	away    bool
}

func (s *modelStore) write(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := watch.Row{Data: []byte(data), Version: s.version}
	s.rows[key] = row
	s.log = append(s.log, watch.Change{Key: key, Row: row})
}

func (s *modelStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[key]; !ok {
		return
	}
	s.version++
	delete(s.rows, key)
	s.log = append(s.log, watch.Change{Key: key, Row: watch.Row{Version: s.version}, Removed: true})
}

// readable returns the rows that can be decoded.
func (s *modelStore) readable() watch.Rows { return readableRows(s.rows) }

func readableRows(rows watch.Rows) watch.Rows {
	readable := maps.Clone(rows)
	maps.DeleteFunc(readable, func(_ string, r watch.Row) bool { return !json.Valid(r.Data) })
	return readable
}

// modelHub is the hub of a node, which reads the store or follows another one.
type modelHub struct {
	store  *modelStore
	hub    *Hub
	inUse  *usedRows // by the hub of the present life
	cut    bool      // from the store
	cancel context.CancelFunc
}

func newModelHub(store *modelStore) *modelHub {
	h := &modelHub{store: store, cancel: func() {}}
	h.restart()
	return h
}

// restart empties the hub.
func (h *modelHub) restart() {
	h.cancel()
	inUse := &usedRows{}
	h.inUse = inUse
	h.hub = NewHub(map[string]Table{modelTable: {Grace: modelGrace, Apply: func(_ time.Time, rows watch.Rows) { inUse.set(rows) }}})
}

func (h *modelHub) down() error {
	if h.store.away || h.cut {
		return errModelDown
	}
	return nil
}

func (h *modelHub) List(context.Context) (watch.Rows, watch.Version, error) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return maps.Clone(h.store.rows), h.store.version, h.down()
}

func (h *modelHub) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	for end := time.Now().Add(wait); ; time.Sleep(modelPoll) {
		changes, version, err := h.changesSince(after)
		if err = errors.Join(ctx.Err(), err); err != nil {
			return nil, 0, err
		}
		if len(changes) > 0 || !time.Now().Before(end) {
			return changes, version, nil
		}
	}
}

func (h *modelHub) changesSince(after watch.Version) ([]watch.Change, watch.Version, error) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	changes := slices.DeleteFunc(slices.Clone(h.store.log), func(c watch.Change) bool { return c.Row.Version <= after })
	return changes, h.store.version, h.down()
}

// modelSink passes on what a follower of the store reads to the hub of one life.
type modelSink struct{ hub *Hub }

// Set passes rows of the store to the hub.
func (s modelSink) Set(now time.Time, rows watch.Rows, version watch.Version, kept watch.Kept) {
	s.hub.Set(now, modelTable, rows, version, kept)
	s.Confirm(now, version)
}

// Confirm passes a confirmation of the store to the hub.
func (s modelSink) Confirm(now time.Time, version watch.Version) {
	s.hub.Confirm(modelTable, version, now, "reader")
}

// read has the hub read the store.
func (h *modelHub) read(t *testing.T) {
	h.cancel()
	ctx, cancel := context.WithCancel(t.Context())
	h.cancel = cancel
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := func() watch.Config {
		c := DefaultConfig().Reader
		c.RemovalGrace = modelGrace
		return c
	}
	f := watch.New(modelTable, h, config, watch.NewRetryGate(), modelSink{h.hub}, log)
	if rows, version, ok := h.hub.Snapshot(modelTable); ok {
		f.Resume(rows, version)
	}
	go f.Run(ctx)
}

// follow has the hub follow another one.
func (h *modelHub) follow(t *testing.T, source *modelHub) {
	h.cancel()
	ctx, cancel := context.WithCancel(t.Context())
	h.cancel = cancel
	held, from, to := parseHeldVersions(h.hub.heldQuery()), source.hub, h.hub
	go func() {
		for ctx.Err() == nil {
			p, status, _, err := from.nextUpdate(steady.Now(), held)
			must.NoError(t, err)
			f := frame{}
			if p != nil {
				f, err = p.unpack()
				must.NoError(t, err)
			}
			f.Status = &status
			to.applyFrame(steady.Now(), f, p, true)
			time.Sleep(modelPoll)
		}
	}()
}

// Guards against rows that a node uses after the store has dropped them, or lacks: those that are kept past an outage and whose end is lost as the node changes
// its source, resumes, restarts or hands its rows on, and those that cannot be read any more.
func TestHubsHoldTheRowsOfTheStoreAfterDisruptions(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) { playModel(t, seed) })
	}
}

func playModel(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	store := &modelStore{rows: watch.Rows{}}
	for i := range modelKeys {
		store.write(fmt.Sprint("k", i), `"first"`)
	}
	var hubs []*modelHub
	for range modelHubs {
		hubs = append(hubs, newModelHub(store))
	}
	for _, h := range hubs {
		h.read(t)
	}
	time.Sleep(time.Second)
	for range modelSteps {
		disruptModel(t, rng, store, hubs)
		time.Sleep(time.Duration(rng.Int64N(int64(modelMaxStep))))
	}
	store.mu.Lock()
	store.away = false
	for _, h := range hubs {
		h.cut = false
	}
	store.mu.Unlock()
	for i, h := range hubs {
		if i == 0 || rng.IntN(3) == 0 {
			h.read(t)
		} else {
			h.follow(t, hubs[rng.IntN(i)])
		}
	}
	time.Sleep(calmAfter)
	for i, h := range hubs {
		must.Eq(t, store.readable(), readableRows(h.inUse.get()), must.Sprintf("seed %d, hub %d", seed, i))
		h.cancel()
	}
	time.Sleep(calmAfter) // all goroutines end
}

// disruptModel changes rows, or what reaches what.
func disruptModel(t *testing.T, rng *rand.Rand, store *modelStore, hubs []*modelHub) {
	key := fmt.Sprint("k", rng.IntN(modelKeys))
	h := hubs[rng.IntN(len(hubs))]
	other := hubs[rng.IntN(len(hubs))]
	switch rng.IntN(13) {
	case 0, 1:
		store.write(key, fmt.Sprintf(`"%d"`, rng.Uint32()))
	case 2, 3, 4:
		store.remove(key)
	case 5:
		store.mu.Lock()
		store.away = !store.away
		store.mu.Unlock()
	case 6:
		store.mu.Lock()
		h.cut = !h.cut
		store.mu.Unlock()
	case 7, 8:
		h.read(t)
	case 9, 10:
		if other != h {
			h.follow(t, other)
		}
	case 11:
		h.restart()
		h.read(t)
	case 12:
		store.write(key, "\x00 unreadable")
	}
}
