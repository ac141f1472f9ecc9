package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/memory"
)

const (
	pathVMs        = "/vms"
	pathObjects    = "/objects/"
	replyDelayUnit = 100 * time.Millisecond // delay of each reply for a slow fault with factor 1
	targetHeader   = "X-Amz-Target"
)

// Platform is a stand-in for the platform's services. It serves the content of a memory.Platform over HTTP.
type Platform struct {
	server
	Memory *memory.Platform

	down          atomic.Bool
	tableDown     atomic.Bool
	replyDelay    atomic.Int64 // nanoseconds before each reply
	repliesToLose atomic.Int64 // number of writes whose reply will be lost
	reads         atomic.Int64
	writes        atomic.Int64

	laggingMu  sync.Mutex
	laggingVMs []store.VM // the list that is served while lagging
	lagging    bool
}

// PlatformStats holds a platform's counters.
type PlatformStats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// NewPlatform starts a platform that listens on address.
func NewPlatform(address string) (*Platform, error) {
	p := &Platform{Memory: memory.New()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", p.table)
	mux.HandleFunc("GET "+pathVMs, p.vms)
	mux.HandleFunc("PUT "+pathVMs, p.putVMs)
	mux.HandleFunc("PUT "+pathObjects+"{bucket}/{name...}", p.putObject)
	mux.HandleFunc("GET "+pathObjects+"{bucket}/{name...}", p.getObject)
	withFaults := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.applyFaults(w, r, mux) })
	err := p.start(address, withFaults, p.faults().handler(func() any { return p.Stats() }))
	return p, err
}

func (p *Platform) faults() faultHandlers {
	return faultHandlers{
		"down":       func(*http.Request, Fault) { p.SetDown(true) },
		"up":         func(*http.Request, Fault) { p.SetDown(false); p.SetTableDown(false) },
		"table-down": func(*http.Request, Fault) { p.SetTableDown(true) },
		"slow":       func(_ *http.Request, f Fault) { p.replyDelay.Store(int64(f.Factor * float64(replyDelayUnit))) },
		"lose-reply": func(_ *http.Request, f Fault) { p.LoseReplies(max(f.Count, 1)) },
		"pause":      func(*http.Request, Fault) { p.pause() },
		"continue":   func(*http.Request, Fault) { p.unpause() },
		"lag":        func(*http.Request, Fault) { p.SetLag(true) },
		"restore":    func(*http.Request, Fault) { p.Restore() },
	}
}

// SetDown makes all requests fail, or ends that fault.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// SetTableDown makes all requests to the table fail, or ends that fault. The list of VMs can still be read.
func (p *Platform) SetTableDown(down bool) { p.tableDown.Store(down) }

// LoseReplies closes the connection of the next count writes without a reply. The writes still take effect.
func (p *Platform) LoseReplies(count int) { p.repliesToLose.Store(int64(count)) }

// SetLag makes the list of VMs stale, by serving its current state from now on, or ends that fault.
func (p *Platform) SetLag(lag bool) {
	vms, _ := p.Memory.List(context.Background())
	p.laggingMu.Lock()
	defer p.laggingMu.Unlock()
	p.lagging, p.laggingVMs = lag, vms
}

// Restore ends all faults.
func (p *Platform) Restore() {
	p.SetDown(false)
	p.SetTableDown(false)
	p.SetLag(false)
	p.replyDelay.Store(0)
	p.repliesToLose.Store(0)
	p.unpause()
}

// Stats returns the platform's counters.
func (p *Platform) Stats() PlatformStats {
	return PlatformStats{Reads: p.reads.Load(), Writes: p.writes.Load()}
}

// VMsURL returns the URL of the list of VMs.
func (p *Platform) VMsURL() string { return p.URL() + pathVMs }

// ObjectURL returns the URL of the object store.
func (p *Platform) ObjectURL() string { return p.URL() + strings.TrimSuffix(pathObjects, "/") }

// applyFaults applies the faults that affect all requests.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if d := time.Duration(p.replyDelay.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	if p.down.Load() || (p.tableDown.Load() && r.Method == http.MethodPost) {
		http.Error(w, "service unavailable", http.StatusServiceUnavailable)
		return
	}
	next.ServeHTTP(w, r)
}

// shouldLoseReply reports whether to lose the reply to a write that took effect.
func (p *Platform) shouldLoseReply() bool {
	return p.repliesToLose.Load() > 0 && p.repliesToLose.Add(-1) >= 0
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	p.laggingMu.Lock()
	vms, lagging := p.laggingVMs, p.lagging
	p.laggingMu.Unlock()
	if !lagging {
		vms, _ = p.Memory.List(r.Context())
	}
	raw, err := json.Marshal(vms)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(raw)
	w.Header().Set("ETag", `"`+hex.EncodeToString(sum[:8])+`"`)
	http.ServeContent(w, r, "vms.json", time.Time{}, bytes.NewReader(raw))
}

// putVMs replaces the list of VMs.
func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []store.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Memory.SetVMs(vms)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.writes.Add(1)
	_ = p.Memory.Objects().Put(r.Context(), r.PathValue("name"), data)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	data, err := p.Memory.Objects().Get(r.Context(), r.PathValue("name"))
	if vaneyoke.CodeOf(err) == vaneyoke.CodeNotFound {
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>")
		return
	}
	_, _ = w.Write(data)
}

// RowContains reports whether a row exists and its value contains a text.
func (p *Platform) RowContains(partition, id, text string) bool {
	row, err := p.Memory.Get(context.Background(), store.Key{Partition: partition, ID: id})
	return err == nil && bytes.Contains(row.Value, []byte(text))
}

// RowIDs returns the ids of the rows of a partition.
func (p *Platform) RowIDs(partition string) []string {
	rows, _ := store.ScanAll(context.Background(), p.Memory, partition)
	var ids []string
	for _, row := range rows {
		ids = append(ids, row.Key.ID)
	}
	return ids
}
