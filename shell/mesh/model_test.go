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
	rows    watch.Rows
	version watch.Version
	log     []watch.Change
	away    bool
}

func (s *modelStore) write(key, data string) {
	s.version++
	row := watch.Row{Data: []byte(data), Version: s.version}
	s.rows[key] = row
	s.log = append(s.log, watch.Change{Key: key, Row: row})
}

func (s *modelStore) remove(key string) {
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
	inUse  *watch.Rows // by the hub of the present life
	cut    bool        // from the store
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
	inUse := &watch.Rows{}
	h.inUse = inUse
	h.hub = NewHub(map[string]Table{modelTable: {Grace: modelGrace, Apply: func(_ time.Time, rows watch.Rows) { *inUse = maps.Clone(rows) }}})
}

func (h *modelHub) down() error {
	if h.store.away || h.cut {
		return errModelDown
	}
	return nil
}

func (h *modelHub) List(context.Context) (watch.Rows, watch.Version, error) {
	return maps.Clone(h.store.rows), h.store.version, h.down()
}

func (h *modelHub) Changes(ctx context.Context, after watch.Version, wait time.Duration) ([]watch.Change, watch.Version, error) {
	for end := time.Now().Add(wait); ; time.Sleep(modelPoll) {
		if err := errors.Join(ctx.Err(), h.down()); err != nil {
			return nil, 0, err
		}
		changes := slices.DeleteFunc(slices.Clone(h.store.log), func(c watch.Change) bool { return c.Row.Version <= after })
		if len(changes) > 0 || !time.Now().Before(end) {
			return changes, h.store.version, nil
		}
	}
}

// Set passes rows of the store to the hub.
func (h *modelHub) Set(now time.Time, rows watch.Rows, version watch.Version, kept watch.Kept) {
	h.hub.Set(now, modelTable, rows, version, kept)
	h.Confirm(now, version)
}

// Confirm passes a confirmation of the store to the hub.
func (h *modelHub) Confirm(now time.Time, version watch.Version) {
	h.hub.Confirm(modelTable, version, now, "reader")
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
	f := watch.New(modelTable, h, config, watch.NewRetryGate(), h, log)
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
	held, from := parseHeldVersions(h.hub.heldQuery()), source.hub
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
			h.hub.applyFrame(steady.Now(), f, p, true)
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
	store.away = false
	for i, h := range hubs {
		h.cut = false
		if i == 0 || rng.IntN(3) == 0 {
			h.read(t)
		} else {
			h.follow(t, hubs[rng.IntN(i)])
		}
	}
	time.Sleep(calmAfter)
	for i, h := range hubs {
		must.Eq(t, store.readable(), readableRows(*h.inUse), must.Sprintf("seed %d, hub %d", seed, i))
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
		store.away = !store.away
	case 6:
		h.cut = !h.cut
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
