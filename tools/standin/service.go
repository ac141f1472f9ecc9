package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Service is a stand-in plain service that counts how often each order was executed.
type Service struct {
	server
	answerDelay atomic.Int64 // nanoseconds before a call is answered

	mu     sync.Mutex
	orders map[string]int
}

// ServiceCall is the body of a call.
type ServiceCall struct {
	Order string `json:"order"`
}

// ServiceAnswer is the answer to a call.
type ServiceAnswer struct {
	Order string `json:"order"`
	Runs  int    `json:"runs"` // how often the order was executed so far
}

// NewService starts a service that listens on address.
func NewService(address string) (*Service, error) {
	s := &Service{orders: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{call}", s.call)
	faults := faultHandlers{
		"kill":      func(r *http.Request, _ Fault) { s.setDead(true); s.closeConnections(r) },
		"restore":   func(*http.Request, Fault) { s.setDead(false); s.answerDelay.Store(0) },
		"pause":     func(*http.Request, Fault) { s.pause() },
		"continue":  func(*http.Request, Fault) { s.unpause() },
		"cut-links": func(r *http.Request, _ Fault) { s.closeConnections(r) },
		"slow":      func(_ *http.Request, f Fault) { s.SetDelay(time.Duration(f.Factor * float64(time.Millisecond))) },
	}
	return s, s.start(address, mux, faults.handler(func() any { return s.Orders() }))
}

// SetDelay sets the time between the execution of a call and its answer.
func (s *Service) SetDelay(d time.Duration) { s.answerDelay.Store(int64(d)) }

// CloseConnections closes all connections.
func (s *Service) CloseConnections() { s.closeConnections(&http.Request{}) }

// Orders returns how often each order was executed.
func (s *Service) Orders() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := make(map[string]int, len(s.orders))
	for order, runs := range s.orders {
		orders[order] = runs
	}
	return orders
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var call ServiceCall
	if err != nil || json.Unmarshal(body, &call) != nil {
		http.Error(w, "body must be a JSON object", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.orders[call.Order]++
	answer := ServiceAnswer{Order: call.Order, Runs: s.orders[call.Order]}
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(s.answerDelay.Load())):
		writeJSON(w, http.StatusOK, answer)
	case <-r.Context().Done():
	}
}
