//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a sound server of a plain service: it runs each request once, for some time, and answers it signed.
type engine struct {
	id, service, zone string
	work              time.Duration
	server            *http.Server
	address           string
	born              int64

	mu      sync.Mutex
	running map[string]time.Time
	ended   bool
	onRun   func(e *engine, id string, r *http.Request)
}

func newEngine(id, service, zone string, work time.Duration, onRun func(*engine, string, *http.Request)) *engine {
	return newEngineAt("127.0.0.1:0", id, service, zone, work, onRun)
}

// newEngineAt starts an engine at an address.
func newEngineAt(address, id, service, zone string, work time.Duration, onRun func(*engine, string, *http.Request)) *engine {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("%s", err)
	}
	e := &engine{id: id, service: service, zone: zone, work: work, address: l.Addr().String(), born: time.Now().UnixMilli(), running: map[string]time.Time{}, onRun: onRun}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e
}

// entry returns the engine's entry in the list of engines.
func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "sequence": 1, "born": e.born,
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case "/report":
		e.mu.Lock()
		active := len(e.running)
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"phase": "unified", "modelList": []any{}, "utilization": false, "sequence": 0, "queued": 0, "active": active, "kvInUse": 0, "kvSize": 0, "kvHandles": 0, "born": e.born})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.running[id] = time.Now()
	e.mu.Unlock()
	if e.onRun != nil {
		e.onRun(e, id, r)
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
	}
	e.mu.Lock()
	delete(e.running, id)
	ended := e.ended
	e.mu.Unlock()
	if ended {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Signature", "signed."+e.id+"."+id)
	fmt.Fprintf(w, "answer of %s to %s\n", e.id, id)
}

// end ends the engine, with what it works on, and returns the ids of that.
func (e *engine) end() []string {
	e.mu.Lock()
	e.ended = true
	var ids []string
	for id := range e.running {
		ids = append(ids, id)
	}
	e.mu.Unlock()
	_ = e.server.Close()
	return ids
}
