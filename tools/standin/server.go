package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	pathFault     = "/standin/fault"
	pathStats     = "/standin/stats"
	headerTimeout = 10 * time.Second
)

// server is the HTTP server of every stand-in. It can be killed and paused, and its connections can be closed.
type server struct {
	http     *http.Server
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]http.ConnState
	dead     bool
	unpaused chan struct{} // closed while the stand-in is not paused
}

// start serves handler on address. The control paths have a separate handler, which also answers while the stand-in is dead or paused.
func (s *server) start(address string, handler, faults http.Handler) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.conns = map[net.Conn]http.ConnState{}
	s.unpaused = make(chan struct{})
	close(s.unpaused)
	mux := http.NewServeMux()
	mux.Handle(pathFault, faults)
	mux.Handle(pathStats, faults)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serveUnlessDead(w, r, handler) })
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ConnState: s.track}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// URL returns the stand-in's base URL.
func (s *server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.listener.Addr().String()
}

// refuseConnections closes the listener for the given time, as while a process restarts.
func (s *server) refuseConnections(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.listener.Addr().String()
	_ = s.listener.Close()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			return // another process has taken the address; the stand-in stays unreachable
		}
		s.listener = listener
		go func() { _ = s.http.Serve(listener) }()
	})
}

// Close stops the stand-in. Its address refuses connections afterwards, even if Serve was not running yet.
func (s *server) Close() error {
	err := s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close() // http.Server.Close misses the listener if Serve has not registered it yet
	return err
}

func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = state
}

// serveUnlessDead aborts the connection of a request to a dead stand-in, and delays a request to a paused one.
func (s *server) serveUnlessDead(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	if !s.alive(r) {
		panic(http.ErrAbortHandler)
	}
	handler.ServeHTTP(w, r)
}

// alive waits while the stand-in is paused, and then reports whether it is alive. It reports false if the request is cancelled first.
func (s *server) alive(r *http.Request) bool {
	select {
	case <-s.notPaused():
	case <-r.Context().Done():
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dead
}

// notPaused returns a channel that is closed once the stand-in is not paused.
func (s *server) notPaused() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unpaused
}

func (s *server) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.unpaused:
		s.unpaused = make(chan struct{})
	default:
	}
}

func (s *server) unpause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.unpaused:
	default:
		close(s.unpaused)
	}
}

func (s *server) setDead(dead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = dead
}

// closeConnections closes every connection except that of the given request.
func (s *server) closeConnections(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if conn.RemoteAddr().String() != r.RemoteAddr {
			_ = conn.Close()
		}
	}
}

// Fault is a request to inject a fault into a stand-in.
type Fault struct {
	Fault  string  `json:"fault"`
	Factor float64 `json:"factor,omitempty"` // for slow: multiple of the normal duration
	Count  int     `json:"count,omitempty"`  // for lose-reply, malformed and error: number of replies or events
}

// faultHandlers maps the names of a stand-in's faults to the functions that inject them.
type faultHandlers map[string]func(r *http.Request, f Fault)

// handler serves the control paths: the faults and the counters.
func (l faultHandlers) handler(stats func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathFault, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, l.names()) })
	mux.HandleFunc("GET "+pathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, stats()) })
	mux.HandleFunc("POST "+pathFault, l.inject)
	return mux
}

func (l faultHandlers) inject(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, faultReply{Error: err.Error()})
		return
	}
	apply, ok := l[f.Fault]
	if !ok {
		writeJSON(w, http.StatusUnprocessableEntity, faultReply{Error: "unknown fault " + f.Fault, Faults: l.names()})
		return
	}
	apply(r, f)
	writeJSON(w, http.StatusOK, faultReply{Done: f.Fault})
}

// faultReply is the answer to a request to inject a fault.
type faultReply struct {
	Done   string   `json:"done,omitempty"`
	Error  string   `json:"error,omitempty"`
	Faults []string `json:"faults,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (l faultHandlers) names() []string { return slices.Sorted(maps.Keys(l)) }
